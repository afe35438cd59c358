//! Choice of upstream and rank for a request.

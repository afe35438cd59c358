//! Retry budgets, resumable streams and crash suspects.

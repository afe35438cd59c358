//! A load balancer for expert-parallel model groups.

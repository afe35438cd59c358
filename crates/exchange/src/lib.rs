//! Dissemination of control records among peers with bounded cost per node.

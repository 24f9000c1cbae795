//! Tests of an entry router against targets that send bytes which are no answer, or the wrong ones.

mod named;
mod seeded;

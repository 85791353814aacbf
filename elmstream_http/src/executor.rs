//! Executor of hyper's tasks on the current compio runtime.

use hyper::rt::Executor;

/// Spawns on the runtime of the current thread; futures need not be `Send`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        compio::runtime::spawn(future).detach();
    }
}

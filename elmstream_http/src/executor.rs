//! Runs hyper's tasks on the present compio runtime.

use hyper::rt::Executor;

/// Spawns on the runtime of the thread; the futures need not be `Send`.
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

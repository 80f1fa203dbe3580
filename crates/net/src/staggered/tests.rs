//! Tests of staggered attempts in virtual time.

use std::future::pending;

use tokio::time::Instant;

use super::*;

/// Guards against a process that starts before its peer and joins only when its first, lost packet is sent again: after a loss of
/// all power every link waited for that.
#[tokio::test(start_paused = true)]
async fn first_result_peer_starts_later() {
    for up_after in [0, 30, 80, 200, 400] {
        let up_at = Instant::now() + Duration::from_millis(up_after);
        let connect = move || async move {
            if Instant::now() < up_at {
                pending::<()>().await;
            }
        };
        first_result(connect).await;
        let joined_after = Instant::now().saturating_duration_since(up_at);
        assert!(
            joined_after <= Duration::from_millis(350),
            "{up_after} ms: {joined_after:?}"
        );
    }
}

/// Guards against attempts that multiply while one takes as long as a round trip between regions.
#[tokio::test(start_paused = true)]
async fn first_result_slow_peer_is_tried_once() {
    let mut attempts = 0;
    first_result(|| {
        attempts += 1;
        sleep(Duration::from_millis(40))
    })
    .await;
    assert_eq!(attempts, 1);
}

/// Guards against a refused attempt that is hidden until the time limit.
#[tokio::test(start_paused = true)]
async fn first_result_refusal_is_returned() {
    let result = first_result(|| async { Err::<(), _>("refused") }).await;
    assert_eq!(result, Err("refused"));
}

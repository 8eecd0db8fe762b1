// A request to the outside may never be answered; nothing that holds a lease may wait for it forever.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Result } from 'neverthrow';
import { err, ResultAsync } from 'neverthrow';

/** The result of `request`, or `failure` if it did not settle within `duration`. */
export function withTimeout<T, E>(
  clock: Clock,
  duration: Milliseconds,
  request: ResultAsync<T, E>,
  failure: E,
): ResultAsync<T, E> {
  return new ResultAsync(first(clock, duration, request, failure));
}

async function first<T, E>(
  clock: Clock,
  duration: Milliseconds,
  request: ResultAsync<T, E>,
  failure: E,
): Promise<Result<T, E>> {
  const settled = new AbortController();
  const timeout = clock.sleep(duration, settled.signal).then((): Result<T, E> => err(failure));
  const result = await Promise.race([request, timeout]);
  settled.abort();
  return result;
}

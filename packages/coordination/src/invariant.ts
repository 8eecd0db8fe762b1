// Safety invariants are checked at run time where they could be violated; violations are counted.

import type { Metrics } from './ports.js';

/** Thrown in place of an action that would violate a safety invariant. */
export class InvariantViolation extends Error {
  override readonly name = 'InvariantViolation';
}

/** Counts and throws `InvariantViolation` unless `holds`. */
export function assertInvariant(metrics: Metrics, holds: boolean, message: string): void {
  if (holds) return;
  metrics.count('invariant.violation');
  throw new InvariantViolation(message);
}

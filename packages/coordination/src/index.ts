export * from './admission.js';
export * from './bufferedResponse.js';
export * from './baseline.js';
export * from './catalogueStore.js';
export * from './claimSweep.js';
export * from './claims.js';
export * from './execution.js';
export * from './executor.js';
export * from './invariant.js';
export * from './keeper.js';
export * from './keepers.js';
export * from './ledger.js';
export * from './membership.js';
export * from './pauseDetector.js';
export * from './ports.js';
export * from './rendezvous.js';
export * from './retryBudget.js';
export * from './leaseRows.js';
export * from './serverLimit.js';
export * from './session.js';
export * from './tableAccess.js';
export * from './writeOnce.js';
export type { RouterLimits } from './intake.js';
export {
  deadTimeout as deadAfter,
  suspectTimeout as suspectAfter,
  type MemberPhase,
} from './member.js';

// Routing decisions, without network access: which server runs a request, which requests wait and which are refused.

export * from './admission.js';
export * from './answers.js';
export * from './coldStart.js';
export * from './dispatcher.js';
export * from './engine.js';
export * from './entrances.js';
export * from './groups.js';
export * from './handedOn.js';
export * from './handover.js';
export * from './homes.js';
export * from './loads.js';
export * from './members.js';
export * from './model.js';
export * from './overload.js';
export * from './placement.js';
export * from './repeats.js';
export * from './reports.js';
export * from './residency.js';
export * from './routeTable.js';
export * from './rows.js';
export * from './serverTable.js';
export * from './standing.js';
export * from './teamShares.js';
export * from './work.js';

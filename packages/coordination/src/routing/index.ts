// Routing decisions, without network access: which server runs a request, which requests wait and which are refused.

export * from './admission.js';
export * from './responseClassification.js';
export * from './coldStart.js';
export * from './departures.js';
export * from './dispatcher.js';
export * from './engineTiming.js';
export * from './entryRouters.js';
export * from './gossipTopology.js';
export * from './relayProgress.js';
export * from './connectionHandover.js';
export * from './holdOffs.js';
export * from './prefixHomes.js';
export * from './loads.js';
export * from './members.js';
export * from './model.js';
export * from './acceptQueue.js';
export * from './placement.js';
export * from './retryBudget.js';
export * from './reports.js';
export * from './prefixCacheIndex.js';
export * from './routeTable.js';
export * from './tableReplica.js';
export * from './serverTable.js';
export * from './serverHealth.js';
export * from './teamUsage.js';
export * from './workTimer.js';

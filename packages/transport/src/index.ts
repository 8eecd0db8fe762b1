export * from './backend.js';
export * from './front.js';
export * from './links/links.js';
export * from './meter.js';
export * from './platform.js';
export * from './problem.js';
export * from './serverControl.js';
export type { PeerHandlers } from './links/procedures.js';
export type { TrafficCount } from './links/traffic.js';

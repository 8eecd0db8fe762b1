export * from './catalogue.js';
export * from './catalogueChange.js';
export * from './clock.js';
export * from './identity.js';
export * from './permit.js';
export * from './failure.js';

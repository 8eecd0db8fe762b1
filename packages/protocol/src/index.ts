export * from './exchange.js';
export * from './peer.js';
export * from './platform.js';
export * from './server.js';

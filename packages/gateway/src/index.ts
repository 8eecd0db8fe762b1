export * from './gateway.js';
export { Log } from './log.js';
export { Tunnels, type Endpoint } from './tunnels.js';

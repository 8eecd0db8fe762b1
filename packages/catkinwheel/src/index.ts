export * from './catalogueFile.js';
export * from './client.js';
export * from './outcome.js';

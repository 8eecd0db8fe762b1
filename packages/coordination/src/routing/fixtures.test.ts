// Fixtures shared by the tests in this folder.

import type { DesiredState, Prompt, Route, Server, Service } from './model.js';

export const service: Service = {
  name: 'model',
  warmup: 3_000,
  coldRate: 6,
  engine: { slots: 64, memory: 500_000 },
};

export const plainService: Service = {
  name: 'desk',
  warmup: 0,
  coldRate: 0,
  engine: undefined,
};

export const route: Route = {
  name: 'histories',
  host: 'example.org',
  prefix: '/histories/',
  kind: 'streaming',
  timeout: 12_000,
  aim: 800,
  patience: 4_000,
  priority: 1,
  shares: [{ service: 'model', weight: 1 }],
  maxAttempts: 2,
  isPublic: false,
  canResume: true,
  regions: [],
};

export const desiredState: DesiredState = {
  version: 1,
  routes: [route],
  services: [service, plainService],
  teams: [
    { name: 'large', keys: ['key-large'], priority: undefined, regions: [] },
    { name: 'small', keys: ['key-small'], priority: undefined, regions: [] },
  ],
  limits: { headers: 16_384, body: 1_000_000, headerTimeout: 3_000, idleTimeout: 15_000 },
};

export function server(id: string, changes: Partial<Server> = {}): Server {
  return {
    id,
    service: 'model',
    address: `10.0.0.${id.length}:80`,
    dataCentre: 'suva',
    slots: 64,
    isLeaving: false,
    coldLeft: 0,
    born: 1,
    ...changes,
  };
}

/** A prompt with a shared part and a private one. */
export function prompt(shared: string, own: string, sharedTokens = 13_000): Prompt {
  return {
    model: 'm',
    parts: [
      { id: shared, tokens: sharedTokens },
      { id: own, tokens: 3_000 },
    ],
    promptTokens: sharedTokens + 3_000,
    outputLimit: 400,
  };
}

/** A deterministic sequence of evenly spread numbers from 0 to 1. */
export function randomSequence(): () => number {
  let state = 0.5;
  return () => (state = (state + 0.618_033_988_749_895) % 1);
}

// Built-in scenarios with one heavy load pattern each, on a deployment of eight routers and eight model servers. One
// needs a larger fleet, in which routers learn the load of other data centres from summaries.

import type { ScenarioEvent, RequestClass, Scenario } from '@catkinwheel/platform/site';

const drafts: RequestClass = {
  name: 'drafts',
  perSecond: 25,
  targetLatency: 800,
  maxEventGap: 400,
  timeout: 12_000,
  worth: 3,
  lateWorth: 0.3,
  attempts: 2,
  canResume: true,
  parts: [{ tokens: { mean: 13_000, spread: 0.7, max: 40_000 }, count: 60, skew: 0.3 }],
  unsharedTokens: { mean: 3_500, spread: 1, max: 50_000 },
  events: { mean: 40, spread: 1.2, max: 160 },
  tokensPerEvent: 3,
};

const questions: RequestClass = {
  name: 'questions',
  perSecond: 30,
  targetLatency: 600,
  maxEventGap: 400,
  timeout: 15_000,
  worth: 0.4,
  lateWorth: 0.04,
  attempts: 2,
  canResume: true,
  parts: [{ tokens: { mean: 300, spread: 0.5, max: 1_000 }, count: 40, skew: 0 }],
  unsharedTokens: { mean: 1_000, spread: 1, max: 4_000 },
  events: { mean: 55, spread: 0.9, max: 200 },
  tokensPerEvent: 3,
};

function scenario(name: string, events: readonly ScenarioEvent[]): Scenario {
  return {
    name,
    seconds: 24,
    dataCentres: ['suva', 'nadi'],
    routers: 8,
    servers: 8,
    engine: {
      slots: 64,
      kvTokens: 520_000,
      step: 5.6,
      stepPerRequest: 0.12,
      prefillRate: 55,
      chunk: 4_096,
      firstTokenOverhead: 60,
      warmup: 3_000,
      coldRate: 6,
    },
    kinds: [drafts, questions],
    teams: { count: 16, skew: 1.8, stickyTeams: 0.4 },
    events,
    unsupported: [],
  };
}

/**
 * Twenty routers receive three times the load that their servers can process, most of it from a team that sends to all
 * of them. The callers of the second largest team use a single router.
 */
export const floodBesideStickyTeam: Scenario = {
  ...scenario('flood-beside-keeper', [
    { kind: 'hotTeam', at: 2, duration: 9, factor: 8, rank: 1 },
    { kind: 'hotTeam', at: 2, duration: 9, factor: 5, rank: 2 },
  ]),
  seconds: 11,
  dataCentres: ['suva', 'nadi', 'lautoka', 'labasa', 'levuka'],
  routers: 20,
  servers: 6,
  kinds: [
    { ...drafts, perSecond: 22.5 },
    { ...questions, perSecond: 35 },
  ],
  teams: { count: 30, skew: 1.2, stickyTeams: [2] },
};

export const builtInScenarios: readonly Scenario[] = [
  scenario('calm', []),
  scenario('burst', [{ kind: 'burst', at: 6, duration: 6, factor: 2, only: undefined }]),
  scenario('hot-teams', [
    { kind: 'hotTeam', at: 6, duration: 10, factor: 6, rank: 2 },
    { kind: 'hotTeam', at: 8, duration: 8, factor: 8, rank: 3 },
  ]),
  scenario('hot-part', [{ kind: 'hotPart', at: 6, duration: 8, share: 0.3, only: 'drafts' }]),
  scenario('servers-lost', [{ kind: 'serversLost', at: 8, duration: 4, share: 0.25 }]),
  scenario('release', [{ kind: 'release', at: 6, duration: 1.5, share: 0.5 }]),
  scenario('routers-lost', [{ kind: 'routersLost', at: 10, duration: 1.5, share: 1 }]),
  floodBesideStickyTeam,
];

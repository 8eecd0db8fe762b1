// The load patterns of heavy days, one each, on a deployment of eight routers and eight model servers. One needs a larger
// fleet, whose routers hear of most others by sums.

import type { Event, Kind, Scenario } from '@catkinwheel/platform/site';

const drafts: Kind = {
  name: 'drafts',
  perSecond: 25,
  aim: 800,
  pause: 400,
  timeout: 12_000,
  worth: 3,
  lateWorth: 0.3,
  attempts: 2,
  canResume: true,
  parts: [{ tokens: { mean: 13_000, spread: 0.7, most: 40_000 }, count: 60, skew: 0.3 }],
  own: { mean: 3_500, spread: 1, most: 50_000 },
  events: { mean: 40, spread: 1.2, most: 160 },
  tokensPerEvent: 3,
};

const questions: Kind = {
  name: 'questions',
  perSecond: 30,
  aim: 600,
  pause: 400,
  timeout: 15_000,
  worth: 0.4,
  lateWorth: 0.04,
  attempts: 2,
  canResume: true,
  parts: [{ tokens: { mean: 300, spread: 0.5, most: 1_000 }, count: 40, skew: 0 }],
  own: { mean: 1_000, spread: 1, most: 4_000 },
  events: { mean: 55, spread: 0.9, most: 200 },
  tokensPerEvent: 3,
};

function day(name: string, events: readonly Event[]): Scenario {
  return {
    name,
    seconds: 24,
    dataCentres: ['suva', 'nadi'],
    routers: 8,
    servers: 8,
    engine: {
      slots: 64,
      memory: 520_000,
      step: 5.6,
      stepPerRequest: 0.12,
      readRate: 55,
      chunk: 4_096,
      first: 60,
      warmup: 3_000,
      coldRate: 6,
    },
    kinds: [drafts, questions],
    teams: { count: 16, skew: 1.8, keepers: 0.4 },
    events,
    left: [],
  };
}

/**
 * Twenty routers are asked for three times what their servers can do, most of it by a team that asks all of them. The
 * callers of the second largest team keep to one router.
 */
export const floodBesideKeeper: Scenario = {
  ...day('flood-beside-keeper', [
    { kind: 'hotTeam', at: 2, lasts: 9, factor: 8, rank: 1 },
    { kind: 'hotTeam', at: 2, lasts: 9, factor: 5, rank: 2 },
  ]),
  seconds: 11,
  dataCentres: ['suva', 'nadi', 'lautoka', 'labasa', 'levuka'],
  routers: 20,
  servers: 6,
  kinds: [
    { ...drafts, perSecond: 22.5 },
    { ...questions, perSecond: 35 },
  ],
  teams: { count: 30, skew: 1.2, keepers: [2] },
};

/** Days that each have one heavy pattern. */
export const heavyDays: readonly Scenario[] = [
  day('calm', []),
  day('burst', [{ kind: 'burst', at: 6, lasts: 6, factor: 2, only: undefined }]),
  day('hot-teams', [
    { kind: 'hotTeam', at: 6, lasts: 10, factor: 6, rank: 2 },
    { kind: 'hotTeam', at: 8, lasts: 8, factor: 8, rank: 3 },
  ]),
  day('hot-part', [{ kind: 'hotPart', at: 6, lasts: 8, share: 0.3, only: 'drafts' }]),
  day('servers-lost', [{ kind: 'serversLost', at: 8, lasts: 4, share: 0.25 }]),
  day('release', [{ kind: 'release', at: 6, lasts: 1.5, share: 0.5 }]),
  day('routers-lost', [{ kind: 'routersLost', at: 10, lasts: 1.5, share: 1 }]),
  floodBesideKeeper,
];

// Generates the requests of a scenario from a seed: arrival times, teams and prompts.

import type { Prompt } from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';
import { randomFrom, type Random } from '../random.js';
import type {
  ScenarioEvent,
  RequestClass,
  Scenario,
  SharedPart,
  SizeDistribution,
} from '@catkinwheel/platform/site';

const second: Milliseconds = 1_000;

/** One request of a caller. */
export interface Arrival {
  readonly at: Milliseconds;
  readonly kind: RequestClass;
  readonly team: string;
  readonly prompt: Prompt;
  /** Tokens of the response. */
  readonly outputTokens: number;
  /** Random number that picks the caller's router, modulo the number of running routers. */
  readonly routerPick: number;
}

/** All requests in order of arrival. Both policies of an experiment get the same ones. */
export function generateArrivals(scenario: Scenario, seed: number): readonly Arrival[] {
  const random = randomFrom(seed);
  const teams = teamsOf(scenario, random);
  const arrivals: Arrival[] = [];
  for (const kind of scenario.kinds) {
    const sharedParts = kind.parts.map((part, index) => {
      return Array.from({ length: part.count }, (_, rank) => ({
        id: `${kind.name}.${index}.${rank}`,
        tokens: Math.round(drawSize(part.tokens, random)),
      }));
    });
    const peakRate = kind.perSecond * maxFactorOf(scenario.events, kind);
    for (let at = 0; ;) {
      at += (-Math.log(1 - random()) / peakRate) * second;
      if (at >= scenario.seconds * second) break;
      const active = activeEventsAt(scenario.events, at);
      const weights = teams.map((team, rank) => team.weight * teamFactorOf(active, rank));
      const total = weights.reduce((sum, weight) => sum + weight, 0);
      // Thinning: arrivals are drawn at the peak rate and dropped in proportion to the current rate.
      if (random() * peakRate > kind.perSecond * burstFactorOf(active, kind) * total) continue;
      const team = teams[weightedIndexOf(weights, random() * total)];
      if (team === undefined) continue;
      const hot = active.find((event) => event.kind === 'hotPart' && event.only === kind.name);
      const isHot = hot?.kind === 'hotPart' && random() < hot.share;
      const parts = kind.parts.map((part, index) => {
        return sharedParts[index]?.[isHot ? 0 : drawRank(part, random)] ?? { id: '', tokens: 0 };
      });
      const unsharedTokens = Math.round(drawSize(kind.unsharedTokens, random));
      const promptTokens = parts.reduce((sum, part) => sum + part.tokens, unsharedTokens);
      const outputTokens = Math.max(
        1,
        Math.round(drawSize(kind.events, random) * kind.tokensPerEvent),
      );
      arrivals.push({
        at,
        kind,
        team: team.name,
        prompt: {
          model: 'm',
          parts: [...parts, { id: `own.${kind.name}.${arrivals.length}`, tokens: unsharedTokens }],
          promptTokens,
          outputLimit: Math.round(kind.events.max * kind.tokensPerEvent),
        },
        outputTokens,
        routerPick: team.stickyRouter ?? Math.floor(random() * 1_000_000),
      });
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

interface GeneratedTeam {
  readonly name: string;
  /** Fraction of all requests while no event is active; the fractions add up to 1. */
  readonly weight: number;
  /** Router pick of all its callers; undefined if each caller picks at random. */
  readonly stickyRouter: number | undefined;
}

function teamsOf({ teams }: Scenario, random: Random): readonly GeneratedTeam[] {
  const ranks = Array.from({ length: teams.count }, (_, rank) => (rank + 1) ** -teams.skew);
  const total = ranks.reduce((sum, weight) => sum + weight, 0);
  return ranks.map((weight, rank) => ({
    name: `team-${rank + 1}`,
    weight: weight / total,
    stickyRouter: isSticky(teams.stickyTeams, rank + 1, random)
      ? Math.floor(random() * 1_000_000)
      : undefined,
  }));
}

function isSticky(
  stickyTeams: Scenario['teams']['stickyTeams'],
  rank: number,
  random: Random,
): boolean {
  return typeof stickyTeams === 'number' ? random() < stickyTeams : stickyTeams.includes(rank);
}

function activeEventsAt(
  events: readonly ScenarioEvent[],
  at: Milliseconds,
): readonly ScenarioEvent[] {
  return events.filter((event) => {
    return at >= event.at * second && at < (event.at + event.duration) * second;
  });
}

function burstFactorOf(active: readonly ScenarioEvent[], kind: RequestClass): number {
  return active.reduce((factor, event) => {
    const applies = event.kind === 'burst' && (event.only ?? kind.name) === kind.name;
    return applies ? factor * event.factor : factor;
  }, 1);
}

/** Factor on the usual request rate of a team. */
function teamFactorOf(active: readonly ScenarioEvent[], rank: number): number {
  return active.reduce((factor, event) => {
    return event.kind === 'hotTeam' && rank + 1 === event.rank ? factor * event.factor : factor;
  }, 1);
}

/** Upper bound of the factor on a kind's request rate during the scenario. */
function maxFactorOf(events: readonly ScenarioEvent[], kind: RequestClass): number {
  const starts = events.map(({ at }) => at * second);
  const peaks = [0, ...starts].map((at) => {
    const active = activeEventsAt(events, at);
    const teamFactor = active.reduce((max, event) => {
      return event.kind === 'hotTeam' ? max * Math.max(1, event.factor) : max;
    }, 1);
    return burstFactorOf(active, kind) * teamFactor;
  });
  return Math.max(1, ...peaks);
}

function drawRank({ count, skew }: SharedPart, random: Random): number {
  const weights = Array.from({ length: count }, (_, rank) => (rank + 1) ** -skew);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weightedIndexOf(weights, random() * total);
}

function weightedIndexOf(weights: readonly number[], point: number): number {
  let remaining = point;
  const index = weights.findIndex((weight) => (remaining -= weight) < 0);
  return index < 0 ? weights.length - 1 : index;
}

/** Draws from a log-normal distribution with the given mean, cut off at `max`. */
function drawSize({ mean, spread, max }: SizeDistribution, random: Random): number {
  if (spread === 0) return mean;
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.min(max, mean * Math.exp(spread * normal - (spread * spread) / 2));
}

// The requests of a scenario, drawn from a seed: when each comes, from which team, with which prompt.

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
  /** Tokens of the answer. */
  readonly output: number;
  /** Which router the caller picks, as a number that is taken modulo the routers that run. */
  readonly pick: number;
}

/** All requests of a day in order. Both policies of an experiment get the same ones. */
export function arrivalsOf(scenario: Scenario, seed: number): readonly Arrival[] {
  const random = randomFrom(seed);
  const teams = teamsOf(scenario, random);
  const arrivals: Arrival[] = [];
  for (const kind of scenario.kinds) {
    const shared = kind.parts.map((part, index) => {
      return Array.from({ length: part.count }, (_, rank) => ({
        id: `${kind.name}.${index}.${rank}`,
        tokens: Math.round(draw(part.tokens, random)),
      }));
    });
    const peak = kind.perSecond * peakOf(scenario.events, kind);
    for (let at = 0; ;) {
      at += (-Math.log(1 - random()) / peak) * second;
      if (at >= scenario.seconds * second) break;
      const active = activeAt(scenario.events, at);
      const weights = teams.map((team, rank) => team.weight * heatOf(active, rank));
      const total = weights.reduce((sum, weight) => sum + weight, 0);
      // Thinning: the peak rate is drawn, and what is not due at this time is left out.
      if (random() * peak > kind.perSecond * factorOf(active, kind) * total) continue;
      const team = teams[indexOf(weights, random() * total)];
      if (team === undefined) continue;
      const hot = active.find((event) => event.kind === 'hotPart' && event.only === kind.name);
      const isHot = hot?.kind === 'hotPart' && random() < hot.share;
      const parts = kind.parts.map((part, index) => {
        return shared[index]?.[isHot ? 0 : rankOf(part, random)] ?? { id: '', tokens: 0 };
      });
      const own = Math.round(draw(kind.unsharedTokens, random));
      const tokens = parts.reduce((sum, part) => sum + part.tokens, own);
      const output = Math.max(1, Math.round(draw(kind.events, random) * kind.tokensPerEvent));
      arrivals.push({
        at,
        kind,
        team: team.name,
        prompt: {
          model: 'm',
          parts: [...parts, { id: `own.${kind.name}.${arrivals.length}`, tokens: own }],
          promptTokens: tokens,
          outputLimit: Math.round(kind.events.max * kind.tokensPerEvent),
        },
        output,
        pick: team.keeps ?? Math.floor(random() * 1_000_000),
      });
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

interface DrawnTeam {
  readonly name: string;
  /** Share of all requests in quiet times; the shares make 1. */
  readonly weight: number;
  /** The router to which its callers keep. */
  readonly keeps: number | undefined;
}

function teamsOf({ teams }: Scenario, random: Random): readonly DrawnTeam[] {
  const ranks = Array.from({ length: teams.count }, (_, rank) => (rank + 1) ** -teams.skew);
  const total = ranks.reduce((sum, weight) => sum + weight, 0);
  return ranks.map((weight, rank) => ({
    name: `team-${rank + 1}`,
    weight: weight / total,
    keeps: isKeeper(teams.stickyTeams, rank + 1, random)
      ? Math.floor(random() * 1_000_000)
      : undefined,
  }));
}

function isKeeper(
  keepers: Scenario['teams']['stickyTeams'],
  rank: number,
  random: Random,
): boolean {
  return typeof keepers === 'number' ? random() < keepers : keepers.includes(rank);
}

function activeAt(events: readonly ScenarioEvent[], at: Milliseconds): readonly ScenarioEvent[] {
  return events.filter((event) => {
    return at >= event.at * second && at < (event.at + event.duration) * second;
  });
}

function factorOf(active: readonly ScenarioEvent[], kind: RequestClass): number {
  return active.reduce((factor, event) => {
    const applies = event.kind === 'burst' && (event.only ?? kind.name) === kind.name;
    return applies ? factor * event.factor : factor;
  }, 1);
}

/** How many times its usual a team sends. */
function heatOf(active: readonly ScenarioEvent[], rank: number): number {
  return active.reduce((heat, event) => {
    return event.kind === 'hotTeam' && rank + 1 === event.rank ? heat * event.factor : heat;
  }, 1);
}

/** An upper bound of all factors of a day. */
function peakOf(events: readonly ScenarioEvent[], kind: RequestClass): number {
  const starts = events.map(({ at }) => at * second);
  const peaks = [0, ...starts].map((at) => {
    const active = activeAt(events, at);
    const heat = active.reduce((most, event) => {
      return event.kind === 'hotTeam' ? most * Math.max(1, event.factor) : most;
    }, 1);
    return factorOf(active, kind) * heat;
  });
  return Math.max(1, ...peaks);
}

function rankOf({ count, skew }: SharedPart, random: Random): number {
  const weights = Array.from({ length: count }, (_, rank) => (rank + 1) ** -skew);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return indexOf(weights, random() * total);
}

function indexOf(weights: readonly number[], point: number): number {
  let left = point;
  const index = weights.findIndex((weight) => (left -= weight) < 0);
  return index < 0 ? weights.length - 1 : index;
}

/** Log-normal with the mean given. */
function draw({ mean, spread, max: most }: SizeDistribution, random: Random): number {
  if (spread === 0) return mean;
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.min(most, mean * Math.exp(spread * normal - (spread * spread) / 2));
}

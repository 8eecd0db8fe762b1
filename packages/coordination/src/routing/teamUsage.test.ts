// Guards fairness over time: a large team has used all capacity for some seconds when another one starts to ask
// for as much.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { TeamUsage } from './teamUsage.js';

/** Time between two served requests. */
const step = 10;
const second = 1_000;

/**
 * Serves whichever team has received least. Returns the tokens of each team in each second since the second
 * team's start.
 */
async function served(alone: number, together: number): Promise<readonly Map<string, number>[]> {
  const clock = Clock.manual(1_000);
  const usage = TeamUsage.create(clock);
  const seconds: Map<string, number>[] = [];
  for (let time = -alone * second; time < together * second; time += step) {
    await clock.advance(step);
    const teams = time < 0 ? ['first'] : ['first', 'later'];
    const [team = ''] = teams.sort((a, b) => usage.received(a) - usage.received(b));
    usage.charge(team, 100);
    if (time < 0) continue;
    const index = Math.floor(time / second);
    const amounts = (seconds[index] ??= new Map<string, number>());
    amounts.set(team, (amounts.get(team) ?? 0) + 100);
  }
  return seconds;
}

// With a sliding window of 4 s, the teams in turn received nothing for 2 s, a third of what was served over 6 s.
test('teams with equal demand get even shares in each second after the later one has caught up', async () => {
  const seconds = await served(4, 12);
  // The later team catches up first, which takes less than two seconds.
  for (const [index, amounts] of seconds.entries()) {
    if (index < 2) continue;
    for (const team of ['first', 'later'])
      assert.ok((amounts.get(team) ?? 0) >= 4_000, `second ${index}: ${team} ${amounts.get(team)}`);
  }
});

test('over any six seconds a team gets at least half of the sum of each second’s largest share', async () => {
  const seconds = await served(8, 12);
  for (let start = 0; start + 6 <= seconds.length; start += 1) {
    const span = seconds.slice(start, start + 6);
    const best = span.reduce((sum, amounts) => sum + Math.max(...amounts.values()), 0);
    for (const team of ['first', 'later']) {
      const own = span.reduce((sum, amounts) => sum + (amounts.get(team) ?? 0), 0);
      assert.ok(own >= best / 2, `from second ${start}: ${team} ${own} of ${best}`);
    }
  }
});

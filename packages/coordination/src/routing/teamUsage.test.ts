// Load pattern: a large team has had all capacity for some seconds when another one begins to ask for as much.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { TeamUsage } from './teamUsage.js';

/** Time between two requests that are served. */
const step = 10;
const second = 1_000;

/** Serves whichever team has received least; returns what each got in each second since the second one came. */
async function served(alone: number, together: number): Promise<readonly Map<string, number>[]> {
  const clock = Clock.manual(1_000);
  const shares = TeamUsage.create(clock);
  const seconds: Map<string, number>[] = [];
  for (let time = -alone * second; time < together * second; time += step) {
    await clock.advance(step);
    const teams = time < 0 ? ['first'] : ['first', 'later'];
    const [team = ''] = teams.sort((a, b) => shares.received(a) - shares.received(b));
    shares.serve(team, 100);
    if (time < 0) continue;
    const index = Math.floor(time / second);
    const amounts = (seconds[index] ??= new Map<string, number>());
    amounts.set(team, (amounts.get(team) ?? 0) + 100);
  }
  return seconds;
}

// With a window of 4 s each got nothing for 2 s in turn, which is a third of what was given over 6 s.
test('teams that ask for the same get even shares in every second after a start', async () => {
  const seconds = await served(4, 12);
  // The later team catches up first; that takes less than two seconds.
  for (const [index, amounts] of seconds.entries()) {
    if (index < 2) continue;
    for (const team of ['first', 'later'])
      assert.ok((amounts.get(team) ?? 0) >= 4_000, `second ${index}: ${team} ${amounts.get(team)}`);
  }
});

test('in no six seconds a team gets less than half of what the best served one gets by the second', async () => {
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

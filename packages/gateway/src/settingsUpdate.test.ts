import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeSettings, type Settings } from '@catkinwheel/platform';
import { updateSettings } from './settingsUpdate.js';

function settingsOf(changes: Readonly<Record<string, unknown>> = {}): Settings {
  const file = {
    nodeName: 'router-1',
    ip: '127.0.0.2',
    zone: 'suva',
    region: 'viti-levu',
    zones: { suva: 'viti-levu' },
    listen: { front: '127.0.0.2:1', ready: '127.0.0.2:2' },
    internalPorts: [7_400, 7_415],
    bootstrap: true,
    platform: { address: '127.0.0.1:1' },
  };
  return decodeSettings(JSON.stringify({ ...file, ...changes }))._unsafeUnwrap();
}

// Guards against settings that are read again and not used, and against those that are half in force.
test('settings that can change while a router runs are applied, and the others are named', () => {
  const current = settingsOf();
  const read = settingsOf({
    zones: { suva: 'viti-levu', nadi: 'viti-levu' },
    bounds: { graceS: 3, budgetRatio: 0.1, budgetWindowS: 7 },
    limits: { cpuShare: 0.5 },
    listen: { front: '127.0.0.2:9', ready: '127.0.0.2:2' },
    platform: { address: '127.0.0.1:2' },
    bootstrap: false,
  });
  const { settings, applied, needRestart } = updateSettings(current, read);
  assert.deepEqual(applied, ['regionOf', 'store', 'bounds.grace', 'bounds.retryRatio']);
  assert.deepEqual(needRestart, ['listen.callers', 'capacity', 'bounds.retryWindow']);
  const { retryWindow } = current.bounds;
  const { regionOf, store, bounds } = read;
  assert.deepEqual(settings, { ...current, regionOf, store, bounds: { ...bounds, retryWindow } });
  assert.deepEqual(updateSettings(current, current).applied, []);
});

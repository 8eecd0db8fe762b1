import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatSettingsError, parseSettings } from './settingsParser.js';
import { settingsSchema } from './settings.js';

const valid = `router: {name: r1, vm: vm-r1, dataCentre: suva}
listen:
  callers: 127.0.0.1:0
  peers: 127.0.0.1:0
  admin: "[::1]:8082"
platform: {address: 127.0.0.1:9000}
peers: {secret: a-long-secret}
operators: {token: a-long-token}
timing: {directoryTtl: 2s}
`;

test('a minimal settings file is accepted and omitted settings get their defaults', () => {
  const settings = parseSettings('r.yaml', valid, settingsSchema)._unsafeUnwrap();
  assert.equal(settings.timing.directoryTtl, 2_000);
  assert.equal(settings.policy, 'fair');
  assert.equal(settings.limits.bodyBytes, 1_048_576);
  assert.deepEqual(settings.peers.seeds, []);
  assert.equal(settings.statsd, undefined);
});

// Each case guards against a daemon that starts with a wrong or ignored setting.
const invalidSettings: readonly (readonly [string, string, string, RegExp])[] = [
  ['unknown key', 'timing:', 'timings:', /^r\.yaml:9: timings: unknown setting; expected one of/],
  ['unknown nested key', 'name: r1', 'nam: r1', /^r\.yaml:1: router\.nam: unknown setting/],
  ['missing key', '  peers: 127.0.0.1:0\n', '', /listen\.peers: missing; expected an IP number/],
  ['host name', '127.0.0.1:9000', 'localhost:9000', /^r\.yaml:6: platform\.address: .*IP number/],
  ['port out of range', '127.0.0.1:9000', '127.0.0.1:70000', /platform\.address/],
  ['duration without unit', '2s', '2', /^r\.yaml:9: timing\.directoryTtl: 2 is not valid/],
  ['negative duration', '2s', '-2s', /timing\.directoryTtl/],
  ['short secret', 'a-long-secret', 'abc', /^r\.yaml:7: peers\.secret/],
  ['list for a scalar', 'a-long-secret', '[a, b]', /peers\.secret: a collection is not valid/],
  ['duplicate key', 'timing:', 'router:', /unique/],
  ['malformed YAML', 'timing: {', 'timing: {{', /^r\.yaml:\d+:/],
];

for (const [name, from, to, expected] of invalidSettings) {
  test(`invalid settings are rejected with file, line and expected form: ${name}`, () => {
    const errors = parseSettings(
      'r.yaml',
      valid.replace(from, to),
      settingsSchema,
    )._unsafeUnwrapErr();
    assert.match(errors.map(formatSettingsError).join('\n'), expected);
  });
}

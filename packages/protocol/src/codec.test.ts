import fc from 'fast-check';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { catalogueCodec } from './catalogueCodec.js';
import { decode } from './decode.js';
import { messageCodec } from './messageCodec.js';
import type { Message } from './peer.js';
import { loadReportCodec } from './serverCodec.js';

const name = fc.string({ minLength: 1, maxLength: 20 });
const whole = fc.nat();
// Amounts travel in thousandths.
const amount = fc.integer().map((x) => x / 1000);
const router = fc.record({
  name,
  incarnation: name,
  vm: name,
  dataCentre: name,
  address: name,
  peerAddress: name,
});
const permit = fc.record({
  id: name,
  server: name,
  fence: whole,
  service: name,
  team: name,
  sequence: whole,
});
const keeper = fc.record({
  server: name,
  service: name,
  fence: whole,
  authority: fc.constantFrom('held' as const, 'acting' as const, 'none' as const),
  phase: fc.constantFrom('cold' as const, 'warming' as const, 'suspect' as const),
  limit: whole,
  inFlight: whole,
  boot: fc.string(),
});
const permits = fc.array(permit);
const outcome = fc.constantFrom('used' as const, 'broken' as const);
const release = fc.record({
  id: name,
  server: name,
  outcome,
  firstByte: fc.option(amount),
  cost: amount,
});
const demand = fc.record({
  team: name,
  interactive: whole,
  batch: whole,
  estimate: amount,
  oldest: amount,
  level: amount,
  counted: whole,
  weight: amount,
});
const kind = <K extends string>(value: K): fc.Arbitrary<K> => fc.constant(value);
const message: fc.Arbitrary<Message> = fc.oneof(
  fc.record({
    kind: kind('heartbeat'),
    router,
    revision: whole,
    platform: fc.boolean(),
    leaving: fc.boolean(),
    keepers: fc.array(keeper),
    floors: fc.array(fc.record({ service: name, level: amount })),
    members: fc.array(router),
  }),
  fc.record({
    kind: kind('demand'),
    service: name,
    complete: fc.boolean(),
    teams: fc.array(demand),
  }),
  fc.record({ kind: kind('grant'), permits }),
  fc.record({ kind: kind('release'), permits: fc.array(release) }),
  fc.record({
    kind: kind('started'),
    permits: fc.array(fc.record({ id: name, server: name, firstByte: amount })),
  }),
  fc.record({ kind: kind('revoke'), server: name, permits: fc.array(name) }),
  fc.record({ kind: kind('takeover'), server: name, fence: whole }),
  fc.record({ kind: kind('holding'), server: name, fence: whole, permits }),
  fc.record({ kind: kind('handover'), server: name, fence: whole, limit: whole, permits }),
  fc.record({
    kind: kind('report'),
    service: name,
    team: name,
    incarnation: name,
    sequence: whole,
    charge: amount,
    chargeAtLevel: amount,
    level: amount,
    waiting: whole,
    inFlight: whole,
    share: amount,
    acknowledged: whole,
  }),
  fc.record({
    kind: kind('level'),
    service: name,
    team: name,
    sequence: whole,
    level: amount,
    share: amount,
  }),
);

function sent(value: Message): unknown[] {
  return JSON.parse(JSON.stringify(messageCodec.encode(value))) as unknown[];
}

test('every message survives its codec and JSON', () => {
  fc.assert(
    fc.property(message, (value) => {
      const plain: unknown = JSON.parse(JSON.stringify(value));
      assert.deepEqual(decode(messageCodec, sent(value))._unsafeUnwrap(), plain);
    }),
    { seed: 1, numRuns: 300 },
  );
});

test('a message with a value more, or one less, is refused', () => {
  fc.assert(
    fc.property(message, (value) => {
      const more = decode(messageCodec, [...sent(value), 1]);
      assert.match(more._unsafeUnwrapErr(), /^expected \d+ values, found \d+$/);
      const less = decode(messageCodec, sent(value).slice(0, -1));
      assert.match(less._unsafeUnwrapErr(), /^expected \d+ values, found \d+$/);
    }),
    { seed: 2, numRuns: 200 },
  );
});

test('decoding never throws, whatever arrives', () => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      decode(messageCodec, value);
      decode(catalogueCodec, value);
      decode(loadReportCodec, value);
    }),
    { seed: 3, numRuns: 500 },
  );
});

const faults: readonly {
  readonly title: string;
  readonly input: unknown;
  readonly error: RegExp;
}[] = [
  { title: 'no list', input: { kind: 'grant' }, error: /^expected a list, found an object$/ },
  { title: 'unknown kind', input: ['gossip'], error: /^kind: expected one of heartbeat, / },
  {
    title: 'wrong type in a list',
    input: ['revoke', 's', ['a', 5]],
    error: /^permits\.1: expected a name/,
  },
  {
    title: 'a fence that is no whole number',
    input: ['takeover', 's', 1.5],
    error: /^fence: expected a whole number of 0 or more, found number 1.5$/,
  },
  {
    title: 'a nested list of another length',
    input: ['demand', 's', true, [['team']]],
    error: /^teams\.0: expected 8 values, found 1$/,
  },
];

for (const { title, input, error } of faults) {
  test(`${title}: the error names the path`, () => {
    assert.match(decode(messageCodec, input)._unsafeUnwrapErr(), error);
  });
}

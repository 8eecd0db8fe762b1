// Guards against forwarding a wrong response: servers may respond twice, the second time late, on connections
// that are kept for further requests.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  belongsToOtherRequest,
  classifyResponse,
  type ResponseFacts,
  type ResponseClass,
  type RequestState,
} from './responseClassification.js';

const whole: ResponseFacts = {
  status: 200,
  namedRequest: 'thisRequest',
  isSigned: true,
  declaresNotRun: false,
  statusImpliesNotRun: false,
  isEncoded: false,
};
const first: RequestState = { hasRelayedPart: false, mayRetry: true };
const last: RequestState = { hasRelayedPart: false, mayRetry: false };
const continued: RequestState = { hasRelayedPart: true, mayRetry: false };

function kindOf(changes: Partial<ResponseFacts>, state: RequestState): ResponseClass['kind'] {
  return classifyResponse({ ...whole, ...changes }, state).kind;
}

// Guards against forwarding the late second response to the previous request, whatever its status.
test('a response without the request’s id is never used, be it a success, a failure or a refusal', () => {
  for (const namedRequest of ['anotherRequest', 'noRequest'] as const)
    for (const changes of [
      {},
      { status: 500 },
      { status: 500, isSigned: false },
      { status: 503, declaresNotRun: true, statusImpliesNotRun: true, isSigned: false },
      { status: 421, declaresNotRun: true, statusImpliesNotRun: true, isSigned: false },
    ])
      assert.ok(belongsToOtherRequest({ ...whole, ...changes, namedRequest }));
  assert.ok(!belongsToOtherRequest(whole));
});

// Guards against forwarding a success that no server signed, or a body that is not the server's.
test('a success without signature or with an encoded body is not forwarded', () => {
  assert.equal(kindOf({}, last), 'accepted');
  assert.ok(belongsToOtherRequest({ ...whole, isSigned: false }));
  assert.ok(!belongsToOtherRequest({ ...whole, status: 500, isSigned: false }));
  assert.equal(kindOf({ isEncoded: true }, last), 'unusable');
});

// Guards against telling a caller that its request has not run although the server does not say so.
test('a status that means “not run” is sent only by the router itself, never forwarded', () => {
  assert.equal(
    kindOf({ status: 503, statusImpliesNotRun: true, declaresNotRun: true }, last),
    'notRun',
  );
  for (const status of [408, 429, 503])
    assert.equal(kindOf({ status, statusImpliesNotRun: true }, last), 'unusable');
});

// Guards against callers that retry a request which servers consider invalid, because they are told that no
// server had room.
test('a request that a server rejects as invalid is retried once, then the response is forwarded', () => {
  assert.equal(kindOf({ status: 400, declaresNotRun: true }, first), 'notRun');
  assert.equal(kindOf({ status: 400, declaresNotRun: true }, last), 'accepted');
});

// Guards against an error in the middle of a stream, and against errors that a retry at another server would avoid.
test('a failure is forwarded if nothing was forwarded before and no other server is tried', () => {
  assert.equal(kindOf({ status: 500 }, last), 'accepted');
  assert.equal(kindOf({ status: 404 }, first), 'accepted');
  assert.equal(kindOf({ status: 500 }, first), 'unusable');
  assert.equal(kindOf({ status: 404 }, continued), 'unusable');
});

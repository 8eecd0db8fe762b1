// TLS of the front, with certificates made for this test alone; they protect nothing.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { connect, type SecureContextOptions } from 'node:tls';
import { emptyCatalogue } from '@catkinwheel/state';
import { Frontend } from './frontend.js';

function pem(kind: string, body: string): string {
  return `-----BEGIN ${kind}-----\n${body}\n-----END ${kind}-----\n`;
}

function contextOf(
  key: string,
  certificate: string,
): Required<Pick<SecureContextOptions, 'key' | 'cert'>> {
  return { key: pem('PRIVATE KEY', key), cert: pem('CERTIFICATE', certificate) };
}

const one = contextOf(
  'MIGHAgEAMBMGByqGSM49AgEGCCqGSM49AwEHBG0wawIBAQQg/ykzaiCz7cdVVpkCW4uIC2/FlE1w1H83bruim0vTbZ2hRANCAASDCgCx1BrGBwrMPuyEymdjF0RQbFMvLlzcFB8eU438xKDz2O4irWKOLY6CDX3M6Zbul3TiQgd4XNxKzk/TttG/',
  'MIIBczCCARmgAwIBAgIUI2ew+qeyR88FHKjwUV6MY3wvwtswCgYIKoZIzj0EAwIwDjEMMAoGA1UEAwwDb25lMCAXDTI2MTIwNDA0MTYxOVoYDzIxMjYxMTEwMDQxNjE5WjAOMQwwCgYDVQQDDANvbmUwWTATBgcqhkjOPQIBBggqhkjOPQMBBwNCAASDCgCx1BrGBwrMPuyEymdjF0RQbFMvLlzcFB8eU438xKDz2O4irWKOLY6CDX3M6Zbul3TiQgd4XNxKzk/TttG/o1MwUTAdBgNVHQ4EFgQUr/DQEBd52amAz1jh57x26Qv1o98wHwYDVR0jBBgwFoAUr/DQEBd52amAz1jh57x26Qv1o98wDwYDVR0TAQH/BAUwAwEB/zAKBggqhkjOPQQDAgNIADBFAiBfDYYldaAH4HpTmalX2cf6P97uWs6aJeGfezbj0YuR2gIhANCHiKjWuUD6/D6NB0hfYFlyqmr//hgjBYIPzHf4EMy3',
);
const two = contextOf(
  'MIGHAgEAMBMGByqGSM49AgEGCCqGSM49AwEHBG0wawIBAQQg5fmWevccFDWcFPnrWcgb/iIG5joDqayKfzTHZuGEhHehRANCAAQGOOJ3+k+gfneVMul67Co7iwJ2oKm+p5XkSECobuV4HnBJc4bg5Izz1Jjh1awJ7aZsJZ4odO7b3rGc7iu7Boww',
  'MIIBczCCARmgAwIBAgIUNtlHaYGm6f4J/XmjvX5sMQQ+3vcwCgYIKoZIzj0EAwIwDjEMMAoGA1UEAwwDdHdvMCAXDTI2MTIwNDA0MTYxOVoYDzIxMjYxMTEwMDQxNjE5WjAOMQwwCgYDVQQDDAN0d28wWTATBgcqhkjOPQIBBggqhkjOPQMBBwNCAAQGOOJ3+k+gfneVMul67Co7iwJ2oKm+p5XkSECobuV4HnBJc4bg5Izz1Jjh1awJ7aZsJZ4odO7b3rGc7iu7Bowwo1MwUTAdBgNVHQ4EFgQUGYVjfyZVHAGwmikSML609Fku4pQwHwYDVR0jBBgwFoAUGYVjfyZVHAGwmikSML609Fku4pQwDwYDVR0TAQH/BAUwAwEB/zAKBggqhkjOPQQDAgNIADBFAiAxIf7zfwEZ8IlVirsAb1fGVNSWAF5PlJA2MEGqYiXdaQIhAIl4j/qsXFZMKDm7ZG4B2eqmlRe8TI5UY404cfaN1DVb',
);

/** Common name of the certificate that the server shows. */
function nameShown(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect({ port, host: '127.0.0.1', rejectUnauthorized: false }, () => {
      resolve(String(socket.getPeerCertificate().subject.CN));
      socket.destroy();
    });
    socket.on('error', reject);
  });
}

test('a reloaded certificate is shown to new connections without a restart', async () => {
  const front = Frontend.create({
    host: '127.0.0.1',
    port: 0,
    catalogue: { current: () => emptyCatalogue },
    status: { refusal: () => undefined, routers: () => [] },
    run: () => {
      throw new Error('no call is expected');
    },
    metrics: { count: () => undefined },
    directoryTtl: 5_000,
    tls: one,
  });
  const port = await front.listen();
  assert.equal(await nameShown(port), 'one');
  front.reload(two);
  assert.equal(await nameShown(port), 'two');
  assert.throws(() => {
    front.reload({ ...two, cert: one.cert });
  });
  assert.equal(await nameShown(port), 'two');
  await front.close();
});

// Finds which router opened a link, from the `hello` in its first WebSocket frames. Peers share
// one address per router, so a relay cannot tell a directed pair apart in any other way.

const headerEnd = '\r\n\r\n';
const senderPattern = /"router"\s*:\s*\{[^{}]*?"name"\s*:\s*"([^"]+)"/;

interface Frame {
  readonly text: string;
  readonly end: number;
}

/** The name of the sending router, or undefined if `bytes` do not hold it (yet). */
export function senderIn(bytes: Buffer): string | undefined {
  const end = bytes.indexOf(headerEnd);
  if (end < 0) return undefined;
  let at = end + headerEnd.length;
  for (;;) {
    const frame = frameAt(bytes, at);
    if (frame === undefined) return undefined;
    const match = senderPattern.exec(frame.text);
    if (match !== null) return match[1];
    at = frame.end;
  }
}

const maskBytes = 4;

/** The client frame at `at`, unmasked, or undefined if it is not complete. See RFC 6455, 5.2. */
function frameAt(bytes: Buffer, at: number): Frame | undefined {
  if (bytes.length < at + 2) return undefined;
  const short = bytes.readUInt8(at + 1) & 0x7f;
  const extra = short === 126 ? 2 : short === 127 ? 8 : 0;
  if (bytes.length < at + 2 + extra) return undefined;
  const length =
    extra === 0
      ? short
      : extra === 2
        ? bytes.readUInt16BE(at + 2)
        : Number(bytes.readBigUInt64BE(at + 2));
  const maskAt = at + 2 + extra;
  const start = maskAt + maskBytes;
  if (bytes.length < start + length) return undefined;
  const mask = bytes.subarray(maskAt, start);
  const text = Buffer.from(bytes.subarray(start, start + length));
  for (let index = 0; index < length; index += 1) {
    text[index] = (text[index] ?? 0) ^ (mask[index % maskBytes] ?? 0);
  }
  return { text: text.toString('utf8'), end: start + length };
}

import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import { expect } from 'chai';
import { createResumedBody } from './ResumedBody.js';
import type { ForwardAnswer, HeaderPair } from './Types.js';

const content = Buffer.from('0123456789');

/** Content from `start` whose transfer breaks at offset `end`, unless that is the end of the content. */
function createTruncatedBody(start: number, end: number): Readable {
  async function* read(): AsyncGenerator<Buffer> {
    yield content.subarray(start, end);
    if (end < content.length) throw new Error('connection reset');
  }
  return Readable.from(read(), { objectMode: false });
}

function createAnswer(
  status: number,
  headers: readonly HeaderPair[],
  body: Readable,
): ForwardAnswer {
  return { status, headers, body, load: { queued: 0, running: 0, slots: 5, serviceTime: 1 } };
}

const strong: readonly HeaderPair[] = [
  ['etag', '"v1"'],
  ['accept-ranges', 'bytes'],
  ['content-length', '10'],
];

function createPart(offset: number, end: number, etag = '"v1"'): ForwardAnswer {
  const range = `bytes ${offset}-9/10`;
  const headers: HeaderPair[] = [
    ['etag', etag],
    ['content-range', range],
  ];
  return createAnswer(206, headers, createTruncatedBody(offset, end));
}

describe('createResumedBody', () => {
  const cases = [
    { name: 'one cut', ends: [4, 10], isWhole: true },
    { name: 'three cuts', ends: [1, 2, 3, 10], isWhole: true },
    { name: 'more cuts than resumes', ends: [1, 2, 3, 4, 10], isWhole: false },
  ];
  cases.forEach(({ name, ends, isWhole }) => {
    it(`${isWhole ? 'joins' : 'fails visibly on'} a body with ${name}`, async () => {
      const [first = 0, ...rest] = ends;
      const offsets: string[] = [];
      let offset = first;
      const body = createResumedBody(
        createAnswer(200, strong, createTruncatedBody(0, first)),
        async (extra) => {
          offsets.push(extra[0]?.[1] ?? '');
          const end = rest.shift() ?? 10;
          const part = createPart(offset, end);
          offset = end;
          return part;
        },
      );
      const result = await buffer(body).catch(() => undefined);
      expect(result?.toString()).to.equal(isWhole ? content.toString() : undefined);
      expect(offsets[0]).to.equal(`bytes=${first}-`);
    });
  });

  const refusals = [
    { name: 'the content has changed', part: createPart(4, 10, '"v2"'), headers: strong },
    {
      name: 'the target sends the whole again',
      part: createAnswer(200, strong, createTruncatedBody(0, 10)),
      headers: strong,
    },
    { name: 'the part starts elsewhere', part: createPart(5, 10), headers: strong },
    {
      name: 'the validator is weak',
      part: createPart(4, 10),
      headers: [['etag', 'W/"v1"'], ...strong.slice(1)] as HeaderPair[],
    },
  ];
  refusals.forEach(({ name, part, headers }) => {
    it(`never joins parts when ${name}`, async () => {
      const body = createResumedBody(
        createAnswer(200, headers, createTruncatedBody(0, 4)),
        async () => part,
      );
      const result = await buffer(body).catch(() => undefined);
      expect(result).to.equal(undefined);
    });
  });
});

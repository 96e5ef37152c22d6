import { Readable } from 'node:stream';
import { OutcomeUnknownError } from '../api/index.js';
import { findHeader } from './Headers.js';
import { discard } from './streams.js';
import type { ForwardAnswer, HeaderPair } from './Types.js';

const maxResumes = 3;
const okStatus = 200;
const partialStatus = 206;

/** Fetches the rest of a body with these extra headers. */
export type RangeFetch = (headers: readonly HeaderPair[]) => Promise<ForwardAnswer>;

/** Validator and length of an answer that can be resumed. */
interface Resumption {
  readonly etag: string;
  readonly length: number;
}

function findResumption(answer: ForwardAnswer): Resumption | undefined {
  const etag = findHeader(answer.headers, 'etag');
  const length = Number(findHeader(answer.headers, 'content-length'));
  const acceptsRanges = findHeader(answer.headers, 'accept-ranges') === 'bytes';
  const isStrong = etag !== undefined && !etag.startsWith('W/');
  if (answer.status !== okStatus || !acceptsRanges || !isStrong) return undefined;
  return Number.isInteger(length) ? { etag, length } : undefined;
}

function continuesAt(answer: ForwardAnswer, offset: number, { etag, length }: Resumption): boolean {
  return (
    answer.status === partialStatus &&
    findHeader(answer.headers, 'etag') === etag &&
    findHeader(answer.headers, 'content-range') === `bytes ${offset}-${length - 1}/${length}`
  );
}

async function* readResumed(
  first: ForwardAnswer,
  resumption: Resumption,
  fetchRange: RangeFetch,
): AsyncGenerator<Buffer> {
  let offset = 0;
  let { body } = first;
  for (let resumes = 0; ; resumes += 1) {
    try {
      for await (const chunk of body) {
        offset += (chunk as Buffer).length;
        yield chunk as Buffer;
      }
      return;
    } catch (error) {
      if (resumes >= maxResumes || offset >= resumption.length) throw error;
      const next = await fetchRange([
        ['range', `bytes=${offset}-`],
        ['if-range', resumption.etag],
      ]);
      if (!continuesAt(next, offset, resumption)) {
        discard(next.body);
        throw new OutcomeUnknownError('the rest of the body has changed', {
          step: 'forward.resume',
        });
      }
      body = next.body;
    }
  }
}

/**
 * Body of a download that goes on from another target when it is cut. Without a strong validator and byte
 * ranges the body is returned as it is, and a cut ends it with an error.
 */
export function createResumedBody(answer: ForwardAnswer, fetchRange: RangeFetch): Readable {
  const resumption = findResumption(answer);
  if (resumption === undefined) return answer.body;
  return Readable.from(readResumed(answer, resumption, fetchRange), { objectMode: false });
}

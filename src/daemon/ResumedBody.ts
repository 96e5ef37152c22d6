import { Readable } from 'node:stream';
import { OutcomeUnknownError } from '../api/index.js';
import { findHeader } from './Headers.js';
import { discard } from './streams.js';
import type { ForwardAnswer, HeaderPair } from './Types.js';

const maxResumes = 3;
const okStatus = 200;
const partialStatus = 206;

/** Repeats the request with these additional headers to fetch the rest of a body. */
export type RangeFetch = (headers: readonly HeaderPair[]) => Promise<ForwardAnswer>;

/** Strong validator and length of content that can be resumed with a range request. */
interface ResumableContent {
  readonly etag: string;
  readonly length: number;
}

function findResumableContent(answer: ForwardAnswer): ResumableContent | undefined {
  const etag = findHeader(answer.headers, 'etag');
  const length = Number(findHeader(answer.headers, 'content-length'));
  const acceptsRanges = findHeader(answer.headers, 'accept-ranges') === 'bytes';
  const isStrong = etag !== undefined && !etag.startsWith('W/');
  if (answer.status !== okStatus || !acceptsRanges || !isStrong) return undefined;
  return Number.isInteger(length) ? { etag, length } : undefined;
}

function continuesAt(
  answer: ForwardAnswer,
  offset: number,
  { etag, length }: ResumableContent,
): boolean {
  return (
    answer.status === partialStatus &&
    findHeader(answer.headers, 'etag') === etag &&
    findHeader(answer.headers, 'content-range') === `bytes ${offset}-${length - 1}/${length}`
  );
}

async function* readResumed(
  first: ForwardAnswer,
  content: ResumableContent,
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
      if (resumes >= maxResumes || offset >= content.length) throw error;
      const next = await fetchRange([
        ['range', `bytes=${offset}-`],
        ['if-range', content.etag],
      ]);
      if (!continuesAt(next, offset, content)) {
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
 * Body of a download that is resumed with a range request when the transfer breaks. Without a strong validator and
 * support for byte ranges, the body is returned unchanged and a broken transfer ends it with an error.
 */
export function createResumedBody(answer: ForwardAnswer, fetchRange: RangeFetch): Readable {
  const content = findResumableContent(answer);
  if (content === undefined) return answer.body;
  return Readable.from(readResumed(answer, content, fetchRange), { objectMode: false });
}

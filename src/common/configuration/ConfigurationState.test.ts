import { expect } from 'chai';
import { sha256 } from '../../node/sha256.js';
import { createTestConfiguration } from '../../bench/simulation/createTestConfiguration.js';
import { brandAs } from '../base/index.js';
import type { Revision } from '../base/index.js';
import { encodeConfiguration } from './ConfigurationCodec.js';
import { ConfigurationState } from './ConfigurationState.js';
import type { ConfigurationChunk, ConfigurationHead } from './Types.js';

interface Offer {
  readonly head: ConfigurationHead;
  readonly chunks: readonly ConfigurationChunk[];
}

function revision(number: number): Offer {
  const content = createTestConfiguration(number, number);
  const { references, chunks } = encodeConfiguration(content, sha256);
  const head = {
    revision: brandAs<Revision>(number),
    parent: brandAs<Revision>(number - 1),
    preset: content.preset,
    author: 'ana',
    created: '',
    summary: '',
    chunks: references,
  };
  return { head, chunks };
}

/** Replaces a chunk by an empty list of documents, which only the digest reveals as damaged. */
function damaged({ head, chunks }: Offer): Offer {
  const content = new TextEncoder().encode('[]');
  return { head, chunks: [chunks[0]!, { ...chunks[1]!, content }, ...chunks.slice(2)] };
}

function truncated({ head, chunks }: Offer, count: number): Offer {
  return { head, chunks: chunks.slice(0, count) };
}

describe('ConfigurationState', () => {
  const cases = [
    { name: 'a complete revision', offers: [revision(1)], inForce: [1] },
    {
      name: 'later revisions, also with gaps',
      offers: [revision(1), revision(4)],
      inForce: [1, 4],
    },
    {
      name: 'no older revision from a peer that is behind',
      offers: [revision(5), revision(4), revision(5)],
      inForce: [5],
    },
    { name: 'no revision with a missing chunk', offers: [truncated(revision(2), 2)], inForce: [] },
    { name: 'no revision with a damaged chunk', offers: [damaged(revision(2))], inForce: [] },
    {
      name: 'a revision whose damaged chunk was fetched again',
      offers: [damaged(revision(2)), revision(2)],
      inForce: [2],
    },
    {
      name: 'a revision that became complete after a later one was announced',
      offers: [truncated(revision(3), 0), revision(2), revision(3)],
      inForce: [2, 3],
    },
  ];
  cases.forEach(({ name, offers, inForce }) => {
    it(`puts in force ${name}`, () => {
      const state = new ConfigurationState(sha256);
      const seen: number[] = [];
      state.onChange(({ after }) => seen.push(after.revision));
      offers.forEach(({ head, chunks }) => state.offer(head, chunks));
      expect(seen).to.deep.equal(inForce);
      expect(state.revision).to.equal(inForce.at(-1) ?? 0);
    });
  });

  it('reports missing and damaged chunks, so that they are fetched', () => {
    const offer = damaged(revision(2));
    const { digest } = offer.chunks[1]!;
    const result = new ConfigurationState(sha256).offer(offer.head, offer.chunks);
    expect(result).to.deep.equal({ type: 'incomplete', missing: [digest], damaged: [digest] });
  });

  it('keeps only the chunks of the revision in force, to save memory', () => {
    const state = new ConfigurationState(sha256);
    const first = revision(1);
    const second = revision(2);
    [first, second].forEach(({ head, chunks }) => state.offer(head, chunks));
    const used = new Set(second.chunks.map(({ digest }) => digest));
    const unused = first.chunks.filter(({ digest }) => !used.has(digest));
    expect(unused.length).to.be.above(0);
    expect(unused.filter(({ digest }) => state.chunkContent(digest) !== undefined)).to.deep.equal(
      [],
    );
  });

  it('stays at the revision in force when a chunk is intact but does not contain documents', () => {
    const state = new ConfigurationState(sha256);
    const { head, chunks } = revision(1);
    const content = new TextEncoder().encode('no list');
    const chunk = { digest: sha256(content), content };
    const reference = { kind: 'routes' as const, digest: chunk.digest, size: content.length };
    const result = state.offer({ ...head, chunks: [...head.chunks, reference] }, [
      ...chunks,
      chunk,
    ]);
    expect([result.type, state.revision]).to.deep.equal(['invalid', 0]);
  });
});

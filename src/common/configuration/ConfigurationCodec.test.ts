import { expect } from 'chai';
import { isLeft } from 'fp-ts/lib/Either.js';
import { sha256 } from '../../node/sha256.js';
import { createTestConfiguration } from '../../bench/simulation/createTestConfiguration.js';
import { brandAs } from '../base/index.js';
import type { AccountId, Revision } from '../base/index.js';
import {
  decodeConfiguration,
  decodeHead,
  encodeConfiguration,
  encodeHead,
  maxChunkBytes,
} from './ConfigurationCodec.js';
import type { ConfigurationContent, ConfigurationHead } from './Types.js';

function headOf(content: ConfigurationContent): ConfigurationHead {
  return {
    revision: brandAs<Revision>(1),
    parent: brandAs<Revision>(0),
    preset: content.preset,
    author: 'ana',
    created: '2026-01-01T00:00:00Z',
    summary: 'first',
    chunks: encodeConfiguration(content, sha256).references,
  };
}

describe('ConfigurationCodec', () => {
  it('decodes what it encoded, in chunks of at most 256 KB', () => {
    const content = createTestConfiguration(4300, 35000);
    const { chunks } = encodeConfiguration(content, sha256);
    const byDigest = new Map(chunks.map((chunk) => [chunk.digest, chunk.content]));
    const decoded = decodeConfiguration(headOf(content), (digest) => byDigest.get(digest));
    expect(Math.max(...chunks.map((chunk) => chunk.content.length))).to.be.at.most(maxChunkBytes);
    if (isLeft(decoded)) throw new Error(decoded.left);
    const sorted = [...content.accounts].sort((one, other) => (one.id < other.id ? -1 : 1));
    expect(decoded.right.accounts).to.deep.equal(sorted);
  });

  it('changes at most two chunks when a document is inserted, so that a change is cheap to distribute', () => {
    const content = createTestConfiguration(100, 35000);
    const added = { id: brandAs<AccountId>('account-0-new'), rate: 1 };
    const before = new Set(encodeConfiguration(content, sha256).chunks.map(({ digest }) => digest));
    const changed = { ...content, accounts: [added, ...content.accounts] };
    const after = encodeConfiguration(changed, sha256).chunks;
    expect(after.filter(({ digest }) => !before.has(digest)).length).to.be.within(1, 2);
  });

  it('does not depend on the order of documents or fields, so that equal content is not sent again', () => {
    const content = createTestConfiguration(10, 10);
    const fields = Object.entries(content.services[0]!).reverse();
    const reversed = {
      ...content,
      routes: [...content.routes].reverse(),
      services: [Object.fromEntries(fields), ...content.services.slice(1)] as never,
    };
    expect(headOf(reversed).chunks).to.deep.equal(headOf(content).chunks);
  });

  it('rejects a document that is larger than a chunk', () => {
    const content = createTestConfiguration();
    const preset = { ...content.presets[0]!, reason: 'x'.repeat(maxChunkBytes) };
    const encode = () => encodeConfiguration({ ...content, presets: [preset] }, sha256);
    expect(encode).to.throw('larger than');
  });

  const damages = [
    { name: 'one changed byte', damage: (text: string): string => text.replace('"ana"', '"eva"') },
    { name: 'a truncated end', damage: (text: string): string => text.slice(0, -5) },
    { name: 'no fields', damage: (): string => '{"digest":"","head":{}}' },
  ];
  damages.forEach(({ name, damage }) => {
    it(`rejects a head with ${name}`, () => {
      const text = new TextDecoder().decode(encodeHead(headOf(createTestConfiguration()), sha256));
      expect(isLeft(decodeHead(new TextEncoder().encode(damage(text)), sha256))).to.equal(true);
    });
  });
});

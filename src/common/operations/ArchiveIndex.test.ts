import { expect } from 'chai';
import { brandAs, type OperationKey } from '../base/index.js';
import { textHash } from '../../bench/operations/textHash.js';
import { ArchiveIndex } from './ArchiveIndex.js';
import { rangeOf } from './KeyRanges.js';

const keyOf = (number: number): OperationKey => brandAs<OperationKey>(`key-${number}`);

describe('ArchiveIndex', () => {
  it('keeps every key while it grows, so that none becomes startable again', () => {
    const index = new ArchiveIndex(textHash);
    for (let number = 1; number <= 5000; number += 1) index.set(keyOf(number), number);
    for (let number = 1; number <= 5000; number += 1) {
      expect(index.get(keyOf(number))).to.equal(number);
    }
    expect(index.size).to.equal(5000);
    expect(index.get(keyOf(5001))).to.equal(undefined);
  });

  it('places keys of one range, whose hashes agree in the low bits, over the whole table', () => {
    let compared = 0;
    const index = new ArchiveIndex((text) => {
      compared += 1;
      return textHash(text);
    });
    const keys = Array.from({ length: 40_000 }, (_, number) => keyOf(number));
    const ofRange = keys.filter((key) => rangeOf(key, textHash) === 3);
    ofRange.forEach((key) => index.set(key, 7));
    expect(ofRange.every((key) => index.get(key) === 7)).to.equal(true);
    expect(compared).to.equal(ofRange.length * 2);
  });
});

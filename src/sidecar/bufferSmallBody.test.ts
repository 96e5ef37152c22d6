import { once } from 'node:events';
import { Readable, type PassThrough } from 'node:stream';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'chai';
import { bufferSmallBody } from './bufferSmallBody.js';

const chunkSize = 256 * 1024;
const chunkCount = 64;

describe('bufferSmallBody', () => {
  it('keeps no listener for each chunk of a large body, so that memory does not grow with it', async () => {
    const chunks = new Array<Buffer>(chunkCount).fill(Buffer.alloc(chunkSize));
    const body = (await bufferSmallBody(Readable.from(chunks), () => true)) as PassThrough;
    const listenersBefore = body.listenerCount('close');
    let size = 0;
    while (size < chunkSize * chunkCount) {
      const chunk = body.read() as Buffer | null;
      if (chunk === null) await setImmediate();
      else size += chunk.length;
    }
    expect(body.listenerCount('close')).to.be.at.most(listenersBefore);
    body.resume();
    await once(body, 'end');
  });
});

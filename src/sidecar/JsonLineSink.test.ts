import { expect } from 'chai';
import { VirtualClock, type LogLine } from '../api/index.js';
import { JsonLineSink } from './JsonLineSink.js';

const line = (change: Partial<LogLine> = {}): LogLine => ({
  level: 'info',
  kind: 'refusal',
  message: 'refused',
  fields: { request: 'r-1' },
  ...change,
});

/** Sink whose output accepts the next chunk only when the test calls a pending callback. */
function create() {
  const chunks: string[] = [];
  const pending: (() => void)[] = [];
  const clock = new VirtualClock();
  const sink = new JsonLineSink('info', clock, (chunk, done) => {
    chunks.push(chunk);
    pending.push(done);
  });
  const lines = (): string[] =>
    chunks
      .join('')
      .split('\n')
      .filter((one) => one !== '');
  return { sink, clock, pending, lines };
}

describe('JsonLineSink', () => {
  it('writes one JSON object a line with time, level and fields', () => {
    const { sink, lines } = create();
    sink.write(line());
    expect(JSON.parse(lines()[0] ?? '')).to.include({ level: 'info', request: 'r-1' });
  });

  it('buffers a bounded number of lines while the output is blocked, and logs how many it dropped', () => {
    const { sink, pending, lines } = create();
    for (let index = 0; index < 10_000; index += 1) sink.write(line());
    expect(lines()).to.have.length(1);
    pending.shift()?.();
    expect(lines().length).to.be.below(2_100);
    expect(lines().at(-1)).to.include('"dropped":');
  });

  it('limits lines of kind route per second, and no other kind', () => {
    const { sink, clock, pending, lines } = create();
    const flush = (): void => {
      while (pending.length > 0) pending.shift()?.();
    };
    for (let index = 0; index < 1_000; index += 1) {
      sink.write(line({ kind: 'route', message: 'routed' }));
      flush();
    }
    sink.write(line());
    flush();
    const routed = (): number => lines().filter((one) => one.includes('"routed"')).length;
    expect(routed()).to.equal(400);
    expect(lines().some((one) => one.includes('"refused"'))).to.equal(true);
    clock.advance(1_000);
    sink.write(line({ kind: 'route', message: 'routed' }));
    flush();
    expect(routed()).to.equal(401);
  });

  it('waits for all buffered lines, so that the last lines of a process are not lost', async () => {
    const { sink, pending, lines } = create();
    const written: number[] = [];
    await sink.flushed();
    sink.write(line());
    sink.write(line());
    const flushed = sink.flushed().then(() => written.push(lines().length));
    pending.shift()?.();
    await Promise.resolve();
    expect(written).to.deep.equal([]);
    pending.shift()?.();
    await flushed;
    expect(written).to.deep.equal([2]);
  });

  it('omits lines below its level', () => {
    const { sink, lines } = create();
    sink.setLevel('warn');
    sink.write(line());
    expect(lines()).to.have.length(0);
  });
});

import { expect } from 'chai';
import {
  brandAs,
  StoreError,
  VirtualClock,
  type DaemonId,
  type StoreEntry,
  type TargetId,
} from '../../api/index.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { DepartureRecorder } from './DepartureRecorder.js';

const id = brandAs<TargetId>('t-1');
const departure = { id, startedAt: 1_000 };
const prefix = 'departures/';
const daemon = brandAs<DaemonId>('d-1');

describe('DepartureRecorder', () => {
  let clock: VirtualClock;
  let log: MemoryLog;
  let entries: StoreEntry[];
  let leases: number;
  let isDown: boolean;
  let recorder: DepartureRecorder;

  const createRecorder = (owner: DaemonId): DepartureRecorder =>
    new DepartureRecorder({
      store: {
        grantLease: async () => {
          if (isDown) throw new StoreError('the store is down', 'not-applied', { step: 'test' });
          leases += 1;
          return String(leases);
        },
        transact: async (_compares, writes) => {
          writes.forEach((write) => {
            if (write.type !== 'put') return;
            entries.push({ key: write.key, value: write.value, modRevision: entries.length + 1 });
          });
          return { applied: true, revision: entries.length };
        },
      },
      prefix,
      daemon: owner,
      clock,
      log,
    });

  beforeEach(() => {
    clock = new VirtualClock();
    log = new MemoryLog();
    entries = [];
    leases = 0;
    isDown = false;
    recorder = createRecorder(daemon);
  });

  /** Whether the acknowledgement is sent within `time` milliseconds. */
  const isAcknowledgedWithin = async (time: number): Promise<boolean> => {
    let isDone = false;
    const done = recorder.waitUntilRecorded(id).then(() => {
      isDone = true;
    });
    await clock.advanceAsync(time);
    const result = isDone;
    await clock.advanceAsync(5_000);
    await done;
    return result;
  };

  it('lets the next process of the same daemon read a departure, and no other daemon', async () => {
    recorder.record(departure);
    expect(await isAcknowledgedWithin(0)).to.equal(true);
    expect(createRecorder(daemon).read(entries)).to.deep.equal([departure]);
    expect(createRecorder(brandAs<DaemonId>('d-10')).read(entries)).to.deep.equal([]);
  });

  it('writes a departure once, however often the target announces it', async () => {
    recorder.record(departure);
    recorder.record(departure);
    recorder.record({ id, startedAt: 900 });
    await clock.advanceAsync(1_000);
    expect([entries.length, leases]).to.deep.equal([1, 1]);
  });

  it('acknowledges while the store is down before the target gives up, and writes when it is back', async () => {
    isDown = true;
    recorder.record(departure);
    expect(await isAcknowledgedWithin(900)).to.equal(true);
    expect(log.messages).to.include('acknowledged that a target leaves before the store has it');
    isDown = false;
    await clock.advanceAsync(10_000);
    expect(recorder.read(entries)).to.deep.equal([departure]);
  });

  it('acknowledges at once what is no departure', async () => {
    expect(await isAcknowledgedWithin(0)).to.equal(true);
  });

  const invalid = ['', 'null', '7', '{"id":"t-1"}', '{"id":7,"startedAt":1}', '['.repeat(100_000)];
  invalid.forEach((text) => {
    it(`ignores the entry ${text.slice(0, 30)} of another writer`, () => {
      const entry = {
        key: `${prefix}d-1/x`,
        value: new TextEncoder().encode(text),
        modRevision: 1,
      };
      expect(recorder.read([entry])).to.deep.equal([]);
      expect(log.messages).to.deep.equal(['ignored a store entry that is not a valid departure']);
    });
  });
});

import { expect } from 'chai';
import {
  brandAs,
  VirtualClock,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type ServiceName,
  type TargetId,
} from '../base/index.js';
import { MemoryLog } from '../../testing/MemoryLog.js';
import { createReachability } from '../../testing/createReachability.js';
import { ResponseWatch, type SilenceReason } from './ResponseWatch.js';
import type { DaemonRecord } from './Types.js';

const service = brandAs<ServiceName>('pedidos');
const daemon = brandAs<DaemonId>('d-1');
/** Milliseconds of a round trip. */
const roundTrip = 40;
/** Milliseconds until a probe without a response fails. */
const probeTimeout = 700;
const record = (incarnation: string): DaemonRecord => ({
  daemon,
  incarnation: brandAs<Incarnation>(incarnation),
  serial: 1,
  address: '127.0.0.1:1',
  region: brandAs<Region>('guanacaste'),
  dataCentre: brandAs<DataCentre>('gte-a'),
  state: 'serving',
  targets: [
    {
      id: brandAs<TargetId>('t-1'),
      incarnation: brandAs<Incarnation>('1'),
      service,
      slots: 3,
      state: 'ready',
    },
  ],
});

/** A daemon, and exchanges with it whose connections may be lost. */
class Peer {
  public readonly clock = new VirtualClock();

  public probes = 0;

  /** Whether new connections get responses. */
  public isUp = true;

  public readonly reasons: SilenceReason[] = [];

  private readonly reachability = createReachability(
    this.clock,
    new MemoryLog(),
    [record('1')],
    () => this.probe(),
  );

  public get isCandidate(): boolean {
    return this.reachability.directory.candidates(service).length > 0;
  }

  public get monitor() {
    return this.reachability.monitor;
  }

  public restart(): void {
    this.reachability.directory.put(record('2'));
  }

  /** Starts exchanges on connections that give no response. */
  public startSilent(count: number, isNewConnection = false): void {
    Array.from({ length: count }).forEach(() => {
      const startedAt = this.clock.elapsed();
      const watch = new ResponseWatch({
        clock: this.clock,
        monitor: this.monitor,
        daemon,
        timeout: probeTimeout,
        isNewConnection: () => isNewConnection,
        onSilence: (reason) => {
          this.reasons.push(reason);
          watch.dispose();
          if (reason !== 'connection-lost') return;
          this.monitor.recordLostConnection({ daemon, startedAt, isNewConnection });
        },
      });
    });
  }

  /** Milliseconds of the next `time` in which the daemon is no candidate. */
  public async countExcluded(time: number): Promise<number> {
    let excluded = 0;
    for (let step = 0; step < time; step += 10) {
      await this.clock.advanceAsync(10);
      if (!this.isCandidate) excluded += 10;
    }
    return excluded;
  }

  private probe(): Promise<void> {
    this.probes += 1;
    const { isUp } = this;
    return new Promise((resolve, reject) => {
      this.clock.after(isUp ? roundTrip : probeTimeout, () => {
        if (isUp) resolve();
        else reject(new Error('no response'));
      });
    });
  }
}

describe('ReachabilityMonitor', () => {
  const silences = [
    { name: 'one exchange', count: 1, events: 1 },
    { name: 'many exchanges at once', count: 40, events: 1 },
    { name: 'many exchanges at once, several times', count: 40, events: 5 },
  ];
  silences.forEach(({ name, count, events }) => {
    it(`keeps a daemon in use whose connections are lost under ${name}`, async () => {
      const peer = new Peer();
      let excluded = 0;
      for (let event = 0; event < events; event += 1) {
        peer.startSilent(count);
        excluded += await peer.countExcluded(1_000);
      }
      expect(excluded).to.equal(0);
      expect(peer.probes).to.equal(events);
      expect(new Set(peer.reasons)).to.deep.equal(new Set(['connection-lost']));
    });
  });

  [1, 40].forEach((count) => {
    it(`excludes a daemon that is gone within the timeout of the first of ${count} exchanges`, async () => {
      const peer = new Peer();
      peer.isUp = false;
      peer.startSilent(count);
      await peer.clock.advanceAsync(probeTimeout);
      expect(peer.isCandidate).to.equal(false);
      expect(peer.reasons).to.have.length(count);
      expect(await peer.countExcluded(20_000)).to.equal(20_000);
    });
  });

  it('tells exchanges that begin during a check of a lost daemon its result, so that they wait no longer', async () => {
    const peer = new Peer();
    peer.isUp = false;
    peer.startSilent(1);
    await peer.clock.advanceAsync(300);
    peer.startSilent(20);
    await peer.clock.advanceAsync(probeTimeout - 300);
    expect(peer.reasons).to.have.length(21);
  });

  [1_000, 10_000, 60_000].forEach((time) => {
    it(`uses a daemon again that responds after ${time} ms, without a request or a refusal`, async () => {
      const peer = new Peer();
      peer.isUp = false;
      peer.startSilent(40);
      await peer.clock.advanceAsync(time);
      expect(peer.isCandidate).to.equal(false);
      peer.isUp = true;
      // The longest interval of checks and a failing check before it.
      await peer.clock.advanceAsync(2_000 + probeTimeout);
      expect(peer.isCandidate).to.equal(true);
    });
  });

  it('keeps a daemon in use that responds to some exchanges while others are silent and a check runs', async () => {
    const peer = new Peer();
    let excluded = 0;
    for (let step = 0; step < 50; step += 1) {
      peer.startSilent(2);
      peer.monitor.recordResponse(daemon, peer.clock.elapsed());
      excluded += await peer.countExcluded(30);
    }
    expect(excluded).to.equal(0);
  });

  it('excludes a daemon that accepts no connection, and counts all failures of one event as one', async () => {
    const peer = new Peer();
    peer.isUp = false;
    for (let count = 0; count < 40; count += 1) {
      peer.monitor.recordConnectFailure(daemon, 'ECONNREFUSED');
    }
    expect(peer.isCandidate).to.equal(false);
    peer.isUp = true;
    await peer.clock.advanceAsync(500 + roundTrip);
    expect(peer.isCandidate).to.equal(true);
  });

  it('excludes a daemon for longer and longer that answers checks but no requests', async () => {
    const peer = new Peer();
    const exclusions: number[] = [];
    for (let count = 0; count < 6; count += 1) {
      peer.startSilent(10, true);
      await peer.clock.advanceAsync(300);
      let excluded = 0;
      while (!peer.isCandidate) {
        await peer.clock.advanceAsync(10);
        excluded += 10;
      }
      exclusions.push(Math.round(excluded / 500) * 500);
      // The exchanges of before the exclusion end.
      await peer.clock.advanceAsync(probeTimeout);
    }
    expect(exclusions).to.deep.equal([0, 500, 1_000, 2_000, 4_000, 4_000]);
  });

  it('guards against a daemon that is never checked again because it responded during the check that failed', async () => {
    const peer = new Peer();
    peer.isUp = false;
    // The first exchange starts the check, the second one is excluded by its timeout before the check has failed.
    peer.startSilent(1);
    await peer.clock.advanceAsync(150);
    peer.startSilent(1);
    await peer.clock.advanceAsync(100);
    peer.monitor.recordResponse(daemon, 0);
    await peer.clock.advanceAsync(2 * probeTimeout);
    expect(peer.isCandidate).to.equal(false);
    peer.isUp = true;
    await peer.clock.advanceAsync(5_000);
    expect(peer.isCandidate).to.equal(true);
  });

  it('uses a daemon at once that responds to an exchange or has restarted', async () => {
    const events = [
      (peer: Peer) => peer.monitor.recordResponse(daemon, peer.clock.elapsed()),
      (peer: Peer) => peer.restart(),
    ];
    for (const event of events) {
      const peer = new Peer();
      peer.isUp = false;
      peer.startSilent(3);
      await peer.clock.advanceAsync(3_000);
      event(peer);
      expect(peer.isCandidate).to.equal(true);
      // Checks of before do not exclude it again.
      expect(await peer.countExcluded(10_000)).to.equal(0);
    }
  });

  it('checks no daemon that is unknown or after it was disposed', async () => {
    const peer = new Peer();
    const unknown = brandAs<DaemonId>('d-2');
    expect(await peer.monitor.check(unknown)).to.equal(false);
    peer.monitor.recordConnectFailure(unknown, 'ECONNREFUSED');
    peer.monitor.dispose();
    expect(await peer.monitor.check(daemon)).to.equal(false);
    await peer.clock.advanceAsync(10_000);
    expect(peer.probes).to.equal(0);
  });
});

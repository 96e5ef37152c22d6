import { DisposableStore, Emitter, StoreError } from '../common/base/index.js';
import type { WriteOutcome } from '../common/base/index.js';
import type {
  Store,
  StoreChange,
  StoreCompare,
  StoreEntry,
  StoreRange,
  StoreTransactionResult,
  StoreWatch,
  StoreWrite,
} from '../common/services/Types.js';
import { toBytes, toKey } from './conditions.js';
import type { FaultInjector } from './FaultInjector.js';
import { MemoryBackend } from './MemoryBackend.js';
import type { CallKind, KeyRange, KeyVersion, Operation, Peer } from './Types.js';
import { openEnd } from './VersionedMap.js';
import { Watcher } from './Watcher.js';

function encodeKey(key: string): string {
  return toKey(new TextEncoder().encode(key));
}

function prefixRange(prefix: string): KeyRange {
  const key = encodeKey(prefix);
  const last = key.charCodeAt(key.length - 1);
  if (key === '' || last === 0xff) return { key: key === '' ? openEnd : key, end: openEnd };
  return { key, end: key.slice(0, -1) + String.fromCharCode(last + 1) };
}

function toEntry(version: KeyVersion): StoreEntry {
  return {
    key: toBytes(version.key).toString('utf8'),
    value: version.value,
    modRevision: version.modRevision,
  };
}

function toOperation(write: StoreWrite): Operation {
  const key = encodeKey(write.key);
  if (write.type === 'delete') return { type: 'delete', range: { key, end: '' } };
  return { type: 'put', key, value: write.value, lease: write.lease ?? '0' };
}

/** Client of an in-process store with fault injection, for tests. */
export class MemoryStore implements Store {
  private readonly peer: Peer;

  private readonly disposables = new DisposableStore();

  public constructor(
    public readonly backend: MemoryBackend = new MemoryBackend(),
    clientName = 'test',
  ) {
    this.peer = { client: clientName, address: '' };
  }

  /** Faults of the backend, which apply to all its clients. */
  public get faults(): FaultInjector {
    return this.backend.faults;
  }

  public async get(key: string): Promise<StoreEntry | undefined> {
    const [entry] = await this.call('read', () => this.read({ key: encodeKey(key), end: '' }, 1));
    return entry;
  }

  public async range({ prefix, limit }: StoreRange): Promise<readonly StoreEntry[]> {
    return this.call('read', () => this.read(prefixRange(prefix), limit ?? 0));
  }

  public async transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    return this.call('write', () => this.applyTransaction(compares, writes));
  }

  public async grantLease(duration: number): Promise<string> {
    return this.call('lease', () => this.backend.core.grantLease(duration));
  }

  public async keepAlive(lease: string): Promise<void> {
    const left = await this.call('keepalive', () => this.backend.core.renewLease(lease));
    if (left === 0) throw this.createError('the lease has expired', 'not-applied', 'keepalive');
  }

  public async revokeLease(lease: string): Promise<void> {
    await this.call('lease', () => this.backend.core.revokeLease(lease));
  }

  public watch(prefix: string): StoreWatch {
    const changes = new Emitter<StoreChange>();
    const ended = new Emitter<Error>();
    const watch = new DisposableStore();
    const end = (message: string): void => {
      watch.dispose();
      ended.fire(this.createError(message, 'not-applied', 'watch'));
    };
    const { core, faults, counters } = this.backend;
    const disposition = faults.decide(this.peer, 'watch');
    if (disposition === 'refuse') {
      queueMicrotask(() => end('the store is unavailable'));
    } else if (disposition !== 'lose-request') {
      counters.count(this.peer, 'watch');
      counters.addWaiting(this.peer, 1);
      watch.add({ dispose: () => counters.addWaiting(this.peer, -1) });
      const watcher = new Watcher(core, prefixRange(prefix), 0, {
        canDeliver: () => faults.canDeliver(this.peer),
        deliver: (versions) =>
          versions.forEach((version) =>
            changes.fire({
              type: version.version === 0 ? 'delete' : 'put',
              entry: toEntry(version),
            }),
          ),
        compacted: () => end('the requested changes have been compacted'),
      });
      watch.add(watcher);
      watch.add(
        faults.onChange(() => {
          if (faults.isRefused(this.peer)) end('the store is unavailable');
          else watcher.deliverPending();
        }),
      );
    }
    this.disposables.add(watch);
    return {
      onChange: changes.event,
      onEnd: ended.event,
      dispose: () => watch.dispose(),
    };
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private read(range: KeyRange, limit: number): StoreEntry[] {
    const result = this.backend.core.transact({
      conditions: [],
      success: [{ type: 'range', query: { ...range, limit, revision: 0 } }],
      failure: [],
    }).results[0];
    return result?.type === 'range' ? result.rangeResult.entries.map(toEntry) : [];
  }

  private applyTransaction(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): StoreTransactionResult {
    const { succeeded, revision } = this.backend.core.transact({
      conditions: compares.map(({ key, modRevision }) => ({
        key: encodeKey(key),
        subject: 'MOD',
        relation: 'EQUAL',
        operand: modRevision,
      })),
      success: writes.map(toOperation),
      failure: [],
    });
    if (succeeded) return { applied: true, revision };
    const present = compares.flatMap(({ key }) => this.read({ key: encodeKey(key), end: '' }, 1));
    return { applied: false, present };
  }

  /** Runs one call with the active faults. A call that a partition drops fails like one past its deadline. */
  private async call<Result>(kind: CallKind, run: () => Result): Promise<Result> {
    await this.delay();
    const disposition = this.faults.decide(this.peer, kind);
    if (disposition === 'refuse')
      throw this.createError('the store is unavailable', 'not-applied', kind);
    const outcome = kind === 'read' ? 'not-applied' : 'unknown';
    if (disposition === 'lose-request') throw this.createError('no response', outcome, kind);
    this.backend.counters.count(this.peer, kind);
    const result = run();
    if (disposition !== 'answer') throw this.createError('no response', outcome, kind);
    return result;
  }

  private async delay(): Promise<void> {
    const { slow } = this.faults.current;
    if (slow === 0) return;
    await new Promise<void>((resolve) => {
      this.backend.clock.after(slow, resolve);
    });
  }

  private createError(message: string, outcome: WriteOutcome, step: string): StoreError {
    return new StoreError(message, outcome, { step: `store.${step}`, peer: 'memory' });
  }
}

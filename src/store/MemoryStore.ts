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

function encode(key: string): string {
  return toKey(new TextEncoder().encode(key));
}

function prefixRange(prefix: string): KeyRange {
  const key = encode(prefix);
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
  const key = encode(write.key);
  if (write.type === 'delete') return { type: 'delete', range: { key, end: '' } };
  return { type: 'put', key, value: write.value, lease: write.lease ?? '0' };
}

/** Client of a store in the same process, with the faults of `FaultInjector`, for tests of other modules. */
export class MemoryStore implements Store {
  private readonly peer: Peer;

  private readonly disposables = new DisposableStore();

  public constructor(
    public readonly backend: MemoryBackend = new MemoryBackend(),
    clientName = 'test',
  ) {
    this.peer = { client: clientName, address: '' };
  }

  /** Faults of the backend; they apply to all its clients. */
  public get faults(): FaultInjector {
    return this.backend.faults;
  }

  public async get(key: string): Promise<StoreEntry | undefined> {
    const [entry] = await this.call('read', () => this.read({ key: encode(key), end: '' }, 1));
    return entry;
  }

  public async range({ prefix, limit }: StoreRange): Promise<readonly StoreEntry[]> {
    return this.call('read', () => this.read(prefixRange(prefix), limit ?? 0));
  }

  public async transact(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): Promise<StoreTransactionResult> {
    return this.call('write', () => this.apply(compares, writes));
  }

  public async grantLease(duration: number): Promise<string> {
    return this.call('lease', () => this.backend.core.grantLease(duration));
  }

  public async keepAlive(lease: string): Promise<void> {
    const left = await this.call('keepalive', () => this.backend.core.renewLease(lease));
    if (left === 0) throw this.error('the lease has lapsed', 'not-applied', 'keepalive');
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
      ended.fire(this.error(message, 'not-applied', 'watch'));
    };
    const { core, faults, counters } = this.backend;
    const fate = faults.decide(this.peer, 'watch');
    if (fate === 'refuse') {
      queueMicrotask(() => end('the store is away'));
    } else if (fate !== 'lose-request') {
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
        compacted: () => end('the changes have been compacted'),
      });
      watch.add(watcher);
      watch.add(
        faults.onChange(() => {
          if (faults.isRefused(this.peer)) end('the store is away');
          else watcher.pump();
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
    return result?.type === 'range' ? result.answer.entries.map(toEntry) : [];
  }

  private apply(
    compares: readonly StoreCompare[],
    writes: readonly StoreWrite[],
  ): StoreTransactionResult {
    const { succeeded, revision } = this.backend.core.transact({
      conditions: compares.map(({ key, modRevision }) => ({
        key: encode(key),
        subject: 'MOD',
        relation: 'EQUAL',
        operand: modRevision,
      })),
      success: writes.map(toOperation),
      failure: [],
    });
    if (succeeded) return { applied: true, revision };
    const present = compares.flatMap(({ key }) => this.read({ key: encode(key), end: '' }, 1));
    return { applied: false, present };
  }

  /** Runs one call with the faults in force. A cut call fails as a call does whose deadline has passed. */
  private async call<Result>(kind: CallKind, run: () => Result): Promise<Result> {
    await this.delay();
    const fate = this.faults.decide(this.peer, kind);
    if (fate === 'refuse') throw this.error('the store is away', 'not-applied', kind);
    const outcome = kind === 'read' ? 'not-applied' : 'unknown';
    if (fate === 'lose-request') throw this.error('no answer', outcome, kind);
    this.backend.counters.count(this.peer, kind);
    const result = run();
    if (fate !== 'answer') throw this.error('no answer', outcome, kind);
    return result;
  }

  private async delay(): Promise<void> {
    const { slow } = this.faults.current;
    if (slow === 0) return;
    await new Promise<void>((resolve) => {
      this.backend.clock.after(slow, resolve);
    });
  }

  private error(message: string, outcome: WriteOutcome, step: string): StoreError {
    return new StoreError(message, outcome, { step: `store.${step}`, peer: 'memory' });
  }
}

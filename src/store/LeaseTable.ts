import type { Clock, Disposable } from '../common/base/index.js';

interface Lease {
  /** Seconds. */
  readonly duration: number;
  readonly keys: Set<string>;
  timer: Disposable;
}

const msPerSecond = 1000;

/** Leases with the keys that are bound to them. A lease that is not renewed in time lapses. */
export class LeaseTable implements Disposable {
  private readonly leases = new Map<string, Lease>();

  private lastId = 0;

  /** @param onLapse Receives the keys of each lease that has ended. */
  public constructor(
    private readonly clock: Clock,
    private readonly onLapse: (keys: readonly string[]) => void,
  ) {}

  /** Grants a lease of `duration` seconds and returns its id. */
  public grant(duration: number, id = ''): string {
    const chosen = id === '' || id === '0' ? this.nextId() : id;
    const lease = { duration, keys: new Set<string>(), timer: this.startTimer(chosen, duration) };
    this.leases.set(chosen, lease);
    return chosen;
  }

  public has(id: string): boolean {
    return this.leases.has(id);
  }

  /** Renews a lease and returns its duration in seconds; 0 means that it has lapsed. */
  public renew(id: string): number {
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.timer.dispose();
    lease.timer = this.startTimer(id, lease.duration);
    return lease.duration;
  }

  /** Ends a lease; returns false if there is none. */
  public revoke(id: string): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    lease.timer.dispose();
    this.leases.delete(id);
    this.onLapse([...lease.keys]);
    return true;
  }

  /** Moves a key from its former lease to another; `'0'` is no lease. */
  public bind(key: string, former: string, lease: string): void {
    this.leases.get(former)?.keys.delete(key);
    this.leases.get(lease)?.keys.add(key);
  }

  public dispose(): void {
    this.leases.forEach((lease) => lease.timer.dispose());
    this.leases.clear();
  }

  private nextId(): string {
    do this.lastId += 1;
    while (this.leases.has(String(this.lastId)));
    return String(this.lastId);
  }

  private startTimer(id: string, duration: number): Disposable {
    return this.clock.after(duration * msPerSecond, () => this.revoke(id));
  }
}

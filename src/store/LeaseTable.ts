import type { Clock, Disposable } from '../common/base/index.js';

interface Lease {
  /** Seconds. */
  readonly duration: number;
  readonly keys: Set<string>;
  timer: Disposable;
}

const msPerSecond = 1000;

/** Leases and the keys attached to them. A lease that is not renewed in time expires. */
export class LeaseTable implements Disposable {
  private readonly leases = new Map<string, Lease>();

  private lastId = 0;

  /** @param onEnd Called with the keys of each lease that has expired or was revoked. */
  public constructor(
    private readonly clock: Clock,
    private readonly onEnd: (keys: readonly string[]) => void,
  ) {}

  /** Grants a lease of `duration` seconds and returns its ID, which is generated if `id` is empty or `'0'`. */
  public grant(duration: number, id = ''): string {
    const leaseId = id === '' || id === '0' ? this.nextId() : id;
    const lease = { duration, keys: new Set<string>(), timer: this.startTimer(leaseId, duration) };
    this.leases.set(leaseId, lease);
    return leaseId;
  }

  public has(id: string): boolean {
    return this.leases.has(id);
  }

  /** Renews a lease and returns its duration in seconds; 0 means that it has expired. */
  public renew(id: string): number {
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.timer.dispose();
    lease.timer = this.startTimer(id, lease.duration);
    return lease.duration;
  }

  /** Ends a lease; returns false if it does not exist. */
  public revoke(id: string): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    lease.timer.dispose();
    this.leases.delete(id);
    this.onEnd([...lease.keys]);
    return true;
  }

  /** Detaches a key from its previous lease and attaches it to another; `'0'` means no lease. */
  public bind(key: string, previousLease: string, lease: string): void {
    this.leases.get(previousLease)?.keys.delete(key);
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

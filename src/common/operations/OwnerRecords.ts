import type { Clock, DaemonId, Incarnation } from '../base/index.js';
import type { Store, StoreEntry } from '../services/Types.js';
import type { RangeNumber } from './Types.js';

/** Seconds after which the store removes the owner records of a daemon that no longer renews its lease. */
export const ownerLeaseSeconds = 9;

/** Key of the owner record of a range. */
export function ownerKey(range: RangeNumber): string {
  return `journal-owner/${String(range).padStart(2, '0')}`;
}

/** Content of an owner record. */
export interface OwnerIdentity {
  readonly daemon: DaemonId;
  readonly incarnation: Incarnation;
}

/**
 * Owner records of one daemon, attached to one lease. They only keep two daemons from taking a range over from each
 * other again and again; the journal is what prevents an operation from running twice.
 */
export class OwnerRecords {
  private lease: { readonly id: string; renewedAt: number } | undefined;

  private pendingGrant: Promise<string> | undefined;

  public constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly identity: OwnerIdentity,
  ) {}

  /** Renews the lease. Returns false if it must be considered expired. */
  public async renew(): Promise<boolean> {
    const { lease } = this;
    if (lease === undefined) return false;
    const sentAt = this.clock.elapsed();
    try {
      await this.store.keepAlive(lease.id);
      lease.renewedAt = sentAt;
    } catch {
      // A failed renewal does not tell whether the lease has expired, so its age decides.
      if (this.clock.elapsed() - lease.renewedAt > ownerLeaseSeconds * 1000) this.lease = undefined;
    }
    return this.lease !== undefined;
  }

  /** Records this daemon as the owner unless another daemon is recorded. Throws `StoreError`. */
  public async claim(range: RangeNumber): Promise<boolean> {
    const current = await this.store.get(ownerKey(range));
    const owner = current === undefined ? undefined : OwnerRecords.parse(current);
    const isOwnedByOther = owner !== undefined && owner.daemon !== this.identity.daemon;
    if (isOwnedByOther) return false;
    return this.put(range, current?.modRevision ?? 0);
  }

  /** Removes the records on a planned stop, so that a successor need not wait for the lease. Throws `StoreError`. */
  public async release(): Promise<void> {
    const { lease } = this;
    this.lease = undefined;
    if (lease !== undefined) await this.store.revokeLease(lease.id);
  }

  private async put(range: RangeNumber, modRevision: number): Promise<boolean> {
    const key = ownerKey(range);
    const value = new TextEncoder().encode(JSON.stringify(this.identity));
    const lease = await this.ensureLease();
    const result = await this.store.transact(
      [{ key, modRevision }],
      [{ type: 'put', key, value, lease }],
    );
    return result.applied;
  }

  /** Id of the lease shared by all records. Ranges are claimed concurrently, and only one lease is renewed. */
  private async ensureLease(): Promise<string> {
    if (this.lease !== undefined) return this.lease.id;
    this.pendingGrant ??= this.grant();
    try {
      return await this.pendingGrant;
    } finally {
      this.pendingGrant = undefined;
    }
  }

  private async grant(): Promise<string> {
    const renewedAt = this.clock.elapsed();
    const id = await this.store.grantLease(ownerLeaseSeconds);
    this.lease = { id, renewedAt };
    return id;
  }

  private static parse(entry: StoreEntry): Partial<OwnerIdentity> {
    try {
      return JSON.parse(new TextDecoder().decode(entry.value)) as Partial<OwnerIdentity>;
    } catch {
      return {};
    }
  }
}

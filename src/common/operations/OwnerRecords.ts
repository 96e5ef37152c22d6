import type { Clock, DaemonId, Incarnation } from '../base/index.js';
import type { Store, StoreEntry } from '../services/Types.js';
import type { RangeNumber } from './Types.js';

/** Seconds after which the store drops the owner records of a daemon that is gone. */
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
 * Owner records of one daemon under one lease. They only keep two daemons from taking over a range in turns; the
 * journal keeps them from running an operation twice.
 */
export class OwnerRecords {
  private lease: { readonly id: string; renewedAt: number } | undefined;

  private granting: Promise<string> | undefined;

  public constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly identity: OwnerIdentity,
  ) {}

  /** Renews the lease. Returns false when it must be taken to have lapsed. */
  public async renew(): Promise<boolean> {
    const { lease } = this;
    if (lease === undefined) return false;
    const sentAt = this.clock.elapsed();
    try {
      await this.store.keepAlive(lease.id);
      lease.renewedAt = sentAt;
    } catch {
      // A failed renewal does not say whether the lease lapsed; its age does.
      if (this.clock.elapsed() - lease.renewedAt > ownerLeaseSeconds * 1000) this.lease = undefined;
    }
    return this.lease !== undefined;
  }

  /** Puts this daemon into the record if nobody else is in it. Throws `StoreError`. */
  public async claim(range: RangeNumber): Promise<boolean> {
    const present = await this.store.get(ownerKey(range));
    const owner = present === undefined ? undefined : OwnerRecords.parse(present);
    const isOther = owner !== undefined && owner.daemon !== this.identity.daemon;
    if (isOther) return false;
    return this.put(range, present?.modRevision ?? 0);
  }

  /** Removes this daemon's records on a planned stop, so that a successor need not wait. Throws `StoreError`. */
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

  /** Lease of all records. Ranges are claimed at the same time, and each must end up under the one that is renewed. */
  private async ensureLease(): Promise<string> {
    if (this.lease !== undefined) return this.lease.id;
    this.granting ??= this.grant();
    try {
      return await this.granting;
    } finally {
      this.granting = undefined;
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

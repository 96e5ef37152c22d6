import {
  brandAs,
  type DaemonId,
  type DataCentre,
  type Incarnation,
  type Region,
  type ServiceName,
  type TargetId,
  type TargetState,
} from '../api/index.js';
import type {
  MemberRecord,
  MemberStatus,
  MemberTarget,
  MemberUpdate,
  MemberVersion,
} from '../common/membership/Types.js';
import type {
  MemberRecord as RecordMessage,
  MemberRecord__Output as RecordOutput,
} from './generated/limpettrack/MemberRecord.js';
import type {
  MemberUpdate as UpdateMessage,
  MemberUpdate__Output as UpdateOutput,
} from './generated/limpettrack/MemberUpdate.js';
import type { MemberVersion__Output as VersionOutput } from './generated/limpettrack/MemberVersion.js';
import type {
  TargetRecord as TargetMessage,
  TargetRecord__Output as TargetOutput,
} from './generated/limpettrack/TargetRecord.js';

/** Shares are encoded as ten-thousandths, which represent the smallest trial share, 1/16, exactly. */
const shareUnits = 10_000;

function encodeTarget(target: MemberTarget): TargetMessage {
  return { ...target, share: Math.round(target.share * shareUnits), move: target.move ?? 0 };
}

function decodeTarget(target: TargetOutput): MemberTarget {
  return {
    id: brandAs<TargetId>(target.id),
    incarnation: brandAs<Incarnation>(target.incarnation),
    service: brandAs<ServiceName>(target.service),
    address: target.address,
    slots: target.slots,
    connections: target.connections,
    status: target.status as TargetState,
    share: target.share / shareUnits,
    move: target.move,
  };
}

function encodeRecord(record: MemberRecord): RecordMessage {
  const { location, targets, ranges, tombstoneAge, ...rest } = record;
  return {
    ...rest,
    ranges: [...ranges],
    region: location.region,
    dataCentre: location.dataCentre,
    targets: targets?.map(encodeTarget) ?? [],
    targetsOmitted: targets === undefined,
    tombstoneAge: Math.round(tombstoneAge ?? 0),
  };
}

function decodeRecord(record: RecordOutput): MemberRecord {
  return {
    id: brandAs<DaemonId>(record.id),
    incarnation: brandAs<Incarnation>(record.incarnation),
    version: record.version,
    address: record.address,
    adminAddress: record.adminAddress,
    location: {
      region: brandAs<Region>(record.region),
      dataCentre: brandAs<DataCentre>(record.dataCentre),
    },
    status: record.status as MemberStatus,
    targetsVersion: record.targetsVersion,
    targets: record.targetsOmitted ? undefined : record.targets.map(decodeTarget),
    revision: record.revision,
    ranges: record.ranges,
    tombstoneAge: record.tombstoneAge,
  };
}

function decodeVersion(version: VersionOutput): MemberVersion {
  return {
    id: brandAs<DaemonId>(version.id),
    incarnation: brandAs<Incarnation>(version.incarnation),
    version: version.version,
    status: version.status as MemberStatus,
    targetsVersion: version.targetsVersion,
  };
}

/** Encodes a gossip update. */
export function encodeUpdate(update: MemberUpdate): UpdateMessage {
  return {
    sender: update.sender,
    records: update.records.map(encodeRecord),
    versions: [...update.versions],
    digest: update.digest,
    partDigests: [...update.partDigests],
    parts: [...update.parts],
    revision: update.revision,
    head: update.head ?? new Uint8Array(),
  };
}

/** Decodes a gossip update. */
export function decodeUpdate(update: UpdateOutput): MemberUpdate {
  return {
    sender: brandAs<DaemonId>(update.sender),
    records: update.records.map(decodeRecord),
    versions: update.versions.map(decodeVersion),
    digest: update.digest,
    partDigests: update.partDigests,
    parts: update.parts,
    revision: update.revision,
    head: update.head.length === 0 ? undefined : update.head,
  };
}

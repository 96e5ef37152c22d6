import { randomInt } from 'node:crypto';
import {
  brandAs,
  createIncarnation,
  DisposableStore,
  type Clock,
  type DaemonId,
  type Disposable,
  type LogSink,
  type RandomSource,
  type RequestId,
  type TargetAnnouncement,
  type TargetEntry,
} from '../api/index.js';
import { RouteTable } from '../common/routing/RouteTable.js';
import { LoadTable } from '../common/selection/LoadTable.js';
import { Selector } from '../common/selection/Selector.js';
import { AdminServer } from './AdminServer.js';
import { DecisionLog } from './DecisionLog.js';
import { Forwarder } from './Forwarder.js';
import { HttpFront } from './HttpFront.js';
import { LocalHome } from './LocalHome.js';
import { PeerConnections } from './PeerConnections.js';
import { PeerServer } from './PeerServer.js';
import { RemoteHome } from './RemoteHome.js';
import { RequestMetrics } from './RequestMetrics.js';
import { sendJson } from './Responses.js';
import type { DaemonSettings } from './Settings.js';
import type { Home, Identity } from './Types.js';

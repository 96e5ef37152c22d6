/** Paths of the admin endpoint that serve the operators' commands. */
import type { RestoreReport, StatusReport, TargetReport } from '../common/services/AdminTypes.js';
import type { AdminServer } from './AdminServer.js';
import { sendJson } from './Responses.js';

/** Queries and actions of operators. */
export interface OperatorApi {
  status(): StatusReport;
  targets(): readonly TargetReport[];
  /** Returns an ejected or suspected target to service; false if this daemon is not its home. */
  restore(target: string): boolean;
}

/** Adds `GET /status`, `GET /targets` and `POST /targets/restore?id=TARGET`. */
export function addOperatorHandlers(admin: AdminServer, source: OperatorApi): void {
  admin.on('GET', '/status', async (_request, response) => {
    sendJson(response, 200, source.status());
  });
  admin.on('GET', '/targets', async (_request, response) => {
    sendJson(response, 200, source.targets());
  });
  admin.on('POST', '/targets/restore', async (_request, response, url) => {
    const isKnown = source.restore(url.searchParams.get('id') ?? '');
    const report: RestoreReport = { isKnown };
    sendJson(response, isKnown ? 200 : 404, report);
  });
}

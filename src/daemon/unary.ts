import type { ServiceError } from '@grpc/grpc-js';
import { FleetError } from '../api/index.js';

type Callback<Response> = (error: ServiceError | null, response?: Response) => void;

/** Makes one unary call with a timeout in milliseconds; throws `FleetError` with the step and the peer. */
export function callUnary<Response>(
  origin: { readonly step: string; readonly peer: string },
  timeout: number,
  start: (options: { deadline: Date }, done: Callback<Response>) => void,
): Promise<Response> {
  return new Promise((resolve, reject) => {
    start({ deadline: new Date(Date.now() + timeout) }, (error, response) => {
      if (response !== undefined && error === null) resolve(response);
      else reject(new FleetError(error?.message ?? 'no answer', { ...origin, cause: error }));
    });
  });
}

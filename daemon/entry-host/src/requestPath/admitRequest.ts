// Admits a request to its service, queues it, or refuses it if it can't be served before its deadline.
import { AdmissionCommandKind, AdmissionEventKind, type AdmissionCommand, type AdmissionEvent } from '@siskinbeam/admission/admissionTypes'
import { stepAdmission } from '@siskinbeam/admission/stepAdmission'
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import { ProbingEventKind } from '@siskinbeam/probing/stepProbing'
import type { EntryHost } from '../entryHost.js'
import { handleProbingEvent } from '../servers/observeServers.js'
import type { ServiceRuntime } from '../servers/serviceRuntime.js'
import { sendErrorResponse, computeRefusalOutcome } from './sendErrorResponse.js'
import type { Exchange, Filter } from './exchange.js'

type CommandHandlers = { [Kind in AdmissionCommandKind]: (service: ServiceRuntime, command: Extract<AdmissionCommand, { kind: Kind }>) => void }

const commandHandlers: CommandHandlers = {
  [AdmissionCommandKind.Admit]: (service, { requestId }) => service.admissionRequests.get(requestId)?.onAdmitted(),
  [AdmissionCommandKind.Refuse]: (service, { requestId, code, outcome, retryAfterMilliseconds }) =>
    service.admissionRequests.get(requestId)?.onRefused(code, outcome, retryAfterMilliseconds)
}

/** Passes an event to the admission of a service and notifies the requests that it admits or refuses. */
export function handleAdmissionEvent (host: EntryHost, service: ServiceRuntime, event: AdmissionEvent): void {
  stepAdmission({ state: service.admission, event, now: host.now(), random: host.random }).forEach(command =>
    (commandHandlers[command.kind] as (service: ServiceRuntime, command: AdmissionCommand) => void)(service, command))
}

/** The filter that waits for admission. */
export const admitRequest: Filter = (exchange, next) => {
  const { host, service, exchangeId } = exchange
  if (service === undefined) return
  handleProbingEvent(host, service, { kind: ProbingEventKind.RequestArrived })
  service.admissionRequests.set(exchangeId, {
    onAdmitted: () => {
      if (exchange.onAdmitted !== undefined) exchange.onAdmitted()
      else next()
    },
    onRefused: (code, outcome, retryAfterMilliseconds) => {
      const error = { code, outcome: outcome as Outcome, message: `service ${service.configuration.name} has no capacity in time`, retryAfterMilliseconds }
      if (exchange.claim === undefined) sendErrorResponse(exchange, error)
      else exchange.claim.giveUp(code)
    }
  })
  exchange.onFinished.push(() => {
    service.admissionRequests.delete(exchangeId)
    handleAdmissionEvent(host, service, { kind: exchange.responseCompleted ? AdmissionEventKind.Finished : AdmissionEventKind.Cancelled, requestId: exchangeId })
  })
  handleAdmissionEvent(host, service, {
    kind: AdmissionEventKind.Arrived,
    requestId: exchangeId,
    classRank: getClassRank(exchange),
    deadlineAt: exchange.deadlineAt,
    refusalOutcome: computeRefusalOutcome(exchange, Outcome.NotRun)
  })
}

/** Returns the rank of the guest class; 0 is the highest priority. */
export function getClassRank ({ host, guestClass }: Exchange): number {
  return Math.max(0, host.activeBundle()?.bundle.guestClasses.indexOf(guestClass) ?? 0)
}

// Admits a request to its service, lets it wait for its turn, or refuses it early.
import { AdmissionCommandKind, AdmissionEventKind, type AdmissionCommand, type AdmissionEvent } from '@siskinbeam/admission/admissionTypes'
import { stepAdmission } from '@siskinbeam/admission/stepAdmission'
import { Outcome } from '@siskinbeam/result-codes/resultCode'
import { ProbingEventKind } from '@siskinbeam/probing/stepProbing'
import type { EntryHost } from '../entryHost.js'
import { feedProbing } from '../servers/observeServers.js'
import type { ServiceRuntime } from '../servers/serviceRuntime.js'
import { accountFor, decideOutcome } from './accountFor.js'
import type { Exchange, Filter } from './exchange.js'

type CommandHandlers = { [Kind in AdmissionCommandKind]: (service: ServiceRuntime, command: Extract<AdmissionCommand, { kind: Kind }>) => void }

const commandHandlers: CommandHandlers = {
  [AdmissionCommandKind.Admit]: (service, { requestId }) => service.admitted.get(requestId)?.onAdmitted(),
  [AdmissionCommandKind.Refuse]: (service, { requestId, code, outcome, retryAfterMilliseconds }) =>
    service.admitted.get(requestId)?.onRefused(code, outcome, retryAfterMilliseconds)
}

/** Steps admission of a service and tells the requests that it decides on. */
export function feedAdmission (host: EntryHost, service: ServiceRuntime, event: AdmissionEvent): void {
  stepAdmission({ state: service.admission, event, now: host.now(), random: host.random }).forEach(command =>
    (commandHandlers[command.kind] as (service: ServiceRuntime, command: AdmissionCommand) => void)(service, command))
}

/** The filter that waits for admission. */
export const admitRequest: Filter = (exchange, next) => {
  const { host, service, number } = exchange
  if (service === undefined) return
  feedProbing(host, service, { kind: ProbingEventKind.RequestArrived })
  service.admitted.set(number, {
    onAdmitted: () => {
      if (exchange.onAdmitted !== undefined) exchange.onAdmitted()
      else next()
    },
    onRefused: (code, outcome, retryAfterMilliseconds) => {
      const account = { code, outcome: outcome as Outcome, message: `service ${service.rule.name} has no capacity in time`, retryAfterMilliseconds }
      if (exchange.claim === undefined) accountFor(exchange, account)
      else exchange.claim.giveUp(code)
    }
  })
  exchange.onFinished.push(() => {
    service.admitted.delete(number)
    feedAdmission(host, service, { kind: exchange.answeredWhole ? AdmissionEventKind.Finished : AdmissionEventKind.Cancelled, requestId: number })
  })
  feedAdmission(host, service, {
    kind: AdmissionEventKind.Arrived,
    requestId: number,
    classRank: readClassRank(exchange),
    deadlineAt: exchange.deadlineAt,
    refusalOutcome: decideOutcome(exchange, Outcome.NotRun)
  })
}

/** Rank of the guest's class, 0 for the most important. */
export function readClassRank ({ host, guestClass }: Exchange): number {
  return Math.max(0, host.activeBundle()?.bundle.guestClasses.indexOf(guestClass) ?? 0)
}

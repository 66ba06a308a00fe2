// Compares what guests saw with what servers ran.
import type { RunRecord as ServerRun } from '@siskinbeam/stand-in-server/serveServer'
import { SendEnd, type GuestRequest } from './load/invocation.js'

export interface RunHistory { ranTwice: number, wrongAnswer: number, findings: Record<string, number> }

export function checkRunHistory (requests: GuestRequest[], runs: ServerRun[]): RunHistory {
  const starts = runs.filter(({ finished, key }) => finished === null && key !== null)
  const byKey = new Map<string, number>()
  starts.forEach(({ key }) => byKey.set(key as string, (byKey.get(key as string) ?? 0) + 1))
  const wrong = requests.flatMap(r => r.sends.filter(s => s.end === SendEnd.Answered && (s.answerPath !== r.path || (r.key !== undefined && s.answerKey !== r.key))))
  return { ranTwice: [...byKey.values()].filter(n => n > 1).length, wrongAnswer: wrong.length, findings: {} }
}

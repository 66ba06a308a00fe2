// Explains one request from the logs of all hosts: prints its log lines, and the state of its host at that
// time: the configuration, the store connection, the servers that the request was sent to and, if it was refused because of
// what servers or crashes say, the lines of those.
import { readFileBytes, type CommandContext, type CommandResult } from './commandContext.js'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail } from '@siskinbeam/result-codes/codedError'

interface LogLine {
  text: string
  time: string
  fields: Map<string, string>
}

/** Log events that change the state of a host. */
const stateEvents = new Set(['configuration in force', 'source changed', 'source passed over', 'store lost', 'store regained', 'host leaving', 'settings reloaded'])

/** Log events in which a host records what a server says of itself. */
const noticeEvents = new Set(['server leaving', 'server pause', 'server limit named', 'server limit changed', 'server limit ended'])
/** Refusals whose reason is what servers say of themselves. */
const noticeCodes = new Set([ResultCode.NoServer, ResultCode.ServersRefused, ResultCode.ServersAtLimit, ResultCode.ServersPaused])
const crashEvents = new Set(['server died', 'request blamed for crashes'])
const maximumCrashLines = 10

/** Prints the log lines that explain a request, ordered by time. Fails with RequestNotLogged. */
export async function explainRequest (context: CommandContext, request: string, paths: string[]): Promise<CommandResult> {
  const files = await Promise.all(paths.map(path => readFileBytes(context, path)))
  const readErrors = files.flatMap(file => file.ok ? [] : [file.error])
  if (readErrors.length > 0) return readErrors
  const lines = files
    .flatMap(file => file.ok ? Buffer.from(file.value).toString('utf8').split('\n') : [])
    .map(parseLine)
    .filter(({ time }) => time !== '')
    .sort((first, second) => first.time < second.time ? -1 : 1)
  const requestLines = lines.filter(({ fields }) => fields.get('request') === request)
  const last = requestLines.at(-1)
  if (last === undefined) {
    return [fail(ResultCode.RequestNotLogged, `no log line names request ${request}`, { key: request, expected: 'the id of a request in the files given' }).error]
  }
  const hosts = new Set(requestLines.map(({ fields }) => fields.get('host')))
  const servers = new Set(requestLines.map(({ fields }) => fields.get('server')).filter(server => server !== undefined))
  const earlierLines = lines.filter(({ time, fields }) => time <= last.time && hosts.has(fields.get('host')) && !fields.has('request'))
  const stateLines = [...stateEvents].flatMap(event => earlierLines.filter(({ fields }) => fields.get('event') === event).at(-1) ?? [])
  const serverLines = [...servers].flatMap(server => earlierLines.filter(({ fields }) => fields.get('event') === 'server changed' && fields.get('server') === server).at(-1) ?? [])
  const code = Number(last.fields.get('code'))
  const noticeLines = noticeCodes.has(code) ? findNoticeLines(earlierLines, last.fields.get('service')) : []
  const crashLines = code === ResultCode.CrashSuspect ? earlierLines.filter(({ fields }) => crashEvents.has(fields.get('event') ?? '')).slice(-maximumCrashLines) : []
  ;[...new Set([...stateLines, ...serverLines, ...noticeLines, ...crashLines, ...requestLines])]
    .sort((first, second) => first.time < second.time ? -1 : 1)
    .forEach(({ text }) => context.writeOutput(text))
  return []
}

/** Returns the latest word of each server. Lines that name another service are left out. */
function findNoticeLines (lines: LogLine[], service: string | undefined): LogLine[] {
  const relevant = lines.filter(({ fields }) => noticeEvents.has(fields.get('event') ?? '') && (fields.get('service') ?? service) === service)
  return [...new Map(relevant.map(line => [`${line.fields.get('host')} ${line.fields.get('event')} ${line.fields.get('server')}`, line])).values()]
}

function parseLine (text: string): LogLine {
  const fields = new Map([...text.matchAll(/([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)/g)].map(([, key = '', value = '']): [string, string] => [key, parseValue(value)]))
  return { text, time: fields.get('time') ?? '', fields }
}

function parseValue (value: string): string {
  if (!value.startsWith('"')) return value
  try {
    return String(JSON.parse(value))
  } catch {
    return value
  }
}

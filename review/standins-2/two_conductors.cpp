// The conductor of a rolling change stands still in its first stage; a successor is begun over a copy of its
// folder; then the former one goes on. With TROUBLE=0 the former one is ended by force instead.
#include "servers.h"

using namespace review;

int main() {
  Case test;
  Record& record = test.record;
  constexpr int kMachines = 4;
  std::vector<std::unique_ptr<FrameServer>> servers;
  Discovery discovery(record);
  if (!discovery.open()) test.finish(2, "no free port");
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<FrameServer>("127.1.0." + std::to_string(i + 1), 5));
    if (!servers.back()->open()) test.finish(2, "no free port");
    discovery.list("leaf-" + std::to_string(i + 1), servers.back()->address(), 0);
  }
  Settings settings;
  settings.slabs = 4;
  struct Machine {
    std::string name, ip, keeper_ip, folder;
    int http = 0, control = 0;
    pid_t keeper = 0;
    int number = 0;
  };
  std::vector<Machine> machines;
  std::string fleet = "<fleet xmlns=\"urn:marbledyke:fleet:1\" name=\"offices\"><zone name=\"a\"/>";
  for (int i = 0; i < kMachines; ++i) {
    Machine one;
    one.name = "m" + std::to_string(i);
    one.ip = "127.0.0." + std::to_string(4 + i);
    one.keeper_ip = "127.0.1." + std::to_string(4 + i);
    one.http = free_port(one.ip);
    one.control = free_port(one.keeper_ip);
    one.folder = test.work + "/" + one.name;
    for (const char* const version : {"v1", "v2"}) {
      const std::string release = test.work + "/release-" + one.name + "-" + version;
      mkdir(release.c_str(), 0755);
      std::string text = configuration(one.name, one.ip + ":" + std::to_string(one.http), discovery.address(),
                                       "8c1f30d27a5be964", settings);
      text.insert(1, std::string("\"note\":\"") + version + "\",");
      std::ofstream(release + "/config.json") << text;
      std::ifstream in(test.root + "/build/marbledyke", std::ios::binary);
      std::ofstream out(release + "/marbledyke", std::ios::binary);
      out << in.rdbuf();
      out.close();
      chmod((release + "/marbledyke").c_str(), 0755);
    }
    one.keeper = start(test.root,
                       "exec build/marbledyke-keeper --folder " + one.folder + " --control " + one.keeper_ip +
                           ":" + std::to_string(one.control) + " --name " + one.name,
                       {}, test.work + "/" + one.name + ".log");
    fleet += "<keeper name=\"" + one.name + "\" control=\"" + one.keeper_ip + ":" +
             std::to_string(one.control) + "\" zone=\"a\"/>";
    machines.push_back(one);
  }
  std::ofstream(test.work + "/fleet.xml") << fleet << "</fleet>\n";
  // Short times, as the project's own test of this has them.
  std::ofstream(test.work + "/plan.xml")
      << "<rollout xmlns=\"urn:marbledyke:rollout:1\" name=\"r\" version=\"v2\" at-a-time=\"1\" "
         "before=\"12s\" "
         "burn-in=\"1s\" longest-wait=\"40s\" swap-limit=\"15s\" block=\"1\" least-asked=\"10\">"
         "<stage name=\"one\" count=\"1\" soak=\"15s\"/><stage name=\"rest\" share=\"1\" soak=\"8s\"/>"
         "<limit measure=\"cpu\" too-much=\"0.9\"/><limit measure=\"slow\" too-much=\"0.25\"/></rollout>\n";
  const auto over = [&](int status, const std::string& words) {
    for (const Machine& one : machines) kill(one.keeper, SIGTERM);
    const double until = now_ms() + 9000;
    for (const Machine& one : machines) {
      if (!ended(one.keeper, until)) kill(one.keeper, SIGKILL);
    }
    for (const Machine& one : machines) {  // gatherers that outlived their keepers
      for (const char* const slot : {"/born-0", "/born-1"}) {
        std::ifstream in(one.folder + slot);
        int pid = 0;
        std::string start_ticks, line;
        if (!(in >> pid >> start_ticks) || pid <= 1) continue;
        std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
        std::getline(stat, line);
        if (line.find(" " + start_ticks + " ") != std::string::npos) kill(pid, SIGKILL);
      }
    }
    test.finish(status, words);
  };
  const auto status = [&](const Machine& one) {
    return ask_http(one.keeper_ip, one.control,
                    "GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", now_ms() + 1000)
        .body;
  };
  const auto order = [&](Machine& one, const std::string& rest) {
    const std::string body = "{\"epoch\":0,\"number\":" + std::to_string(++one.number) + "," + rest + "}";
    return ask_http(one.keeper_ip, one.control,
                    "POST /order HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body,
                    now_ms() + 3000)
               .status() == 202;
  };
  const auto settled = [&](const Machine& one) {
    for (const double until = now_ms() + 15000; now_ms() < until; usleep(50000)) {
      if (status(one).find("\"outcome\":\"done\"") != std::string::npos) return true;
    }
    return false;
  };
  const auto text_of = [](const std::string& path) {
    std::ifstream in(path);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
  };
  usleep(500000);
  for (Machine& one : machines) {
    for (const char* const version : {"v1", "v2"}) {
      if (!order(one, std::string("\"order\":\"take\",\"version\":\"") + version + "\",\"from\":\"" +
                          test.work + "/release-" + one.name + "-" + version + "\"") ||
          !settled(one))
        over(2, "a version was not taken");
    }
  }
  for (Machine& one : machines) {
    if (!order(one, "\"order\":\"use\",\"version\":\"v1\"")) over(2, "use was refused");
  }
  usleep(500000);
  for (Machine& one : machines) {
    if (!settled(one)) over(2, "v1 was not proved");
  }
  for (const Machine& one : machines)
    start(test.root,
          "exec build/marbledyke-lab load --to " + one.ip + ":" + std::to_string(one.http) +
              " --rate 60 --seconds 105 --shards 4 --op-type look",
          {}, test.work + "/load.log");
  record.line("four keepers with v1 in force under 60 multigets a second each; v2 is there");

  const auto conduct = [&](const std::string& folder) {
    return start(test.root,
                 "exec build/marbledyke-fleet rollout start " + test.work + "/fleet.xml " + test.work +
                     "/plan.xml --folder " + folder,
                 {}, folder + ".log");
  };
  const std::string first = test.work + "/conductor-a", second = test.work + "/conductor-b";
  const pid_t former = conduct(first);
  const auto saved = [&](const std::string& folder, const std::string& words, double ms) {
    for (const double until = now_ms() + ms; now_ms() < until; usleep(100000)) {
      if (text_of(folder + "/rollout").find(words) != std::string::npos) return true;
    }
    return false;
  };
  if (!saved(first, "\"state\":\"soaking\"", 45000)) over(2, "the first stage was not reached");
  usleep(1500000);
  kill(former, test.trouble ? SIGSTOP : SIGKILL);
  record.line("conductor A, epoch %s, is %s in its first stage",
              between(text_of(first + "/rollout"), "\"epoch\":", ",").c_str(),
              test.trouble ? "stopped (SIGSTOP)" : "ended (SIGKILL)");
  mkdir(second.c_str(), 0755);
  std::ofstream(second + "/rollout") << text_of(first + "/rollout");
  const std::string old_epoch = "\"epoch\":" + between(text_of(first + "/rollout"), "\"epoch\":", ",");
  conduct(second);
  // It has begun once its own state has another epoch.
  double begun = 0;
  for (const double until = now_ms() + 15000; now_ms() < until && begun == 0; usleep(50000)) {
    const std::string now = text_of(second + "/rollout");
    if (now.find("\"epoch\"") != std::string::npos && now.find(old_epoch + ",") == std::string::npos)
      begun = now_ms();
  }
  if (begun == 0) over(2, "the successor did not begin");
  record.line("conductor B is begun over a copy of the folder, epoch %s, state %s",
              between(text_of(second + "/rollout"), "\"epoch\":", ",").c_str(),
              between(text_of(second + "/rollout"), "\"state\":\"", "\"").c_str());
  if (test.trouble) {
    usleep(500000);
    kill(former, SIGCONT);
    record.line("conductor A goes on (SIGCONT)");
  }
  std::vector<std::string> last(kMachines);
  int broken = 0;
  std::string worst;
  for (const double until = now_ms() + 40000; now_ms() < until; usleep(200000)) {
    const std::string b = text_of(second + "/rollout");
    const std::string state = between(b, "\"state\":\"", "\""), stage = between(b, "\"stage\":", ",");
    for (int i = 0; i < kMachines; ++i) {
      const std::string now = status(machines[static_cast<std::size_t>(i)]);
      const std::string told = "{" + between(now, "\"order\":{", "}") + "}";
      if (told == last[static_cast<std::size_t>(i)] || told == "{}") continue;
      const bool seen_before = !last[static_cast<std::size_t>(i)].empty();
      last[static_cast<std::size_t>(i)] = told;
      record.line("m%d has taken the order %s; in force: %s; conductor B: %s, stage %s", i, told.c_str(),
                  between(now, "\"in_force\":\"", "\"").c_str(), state.c_str(), stage.c_str());
      // Orders that were taken before the successor had begun are no concern here.
      if (!seen_before || told.find(old_epoch + ",") == std::string::npos) continue;
      broken += 1;
      worst = "m" + std::to_string(i) + " took " + told + " of the former conductor while its successor is " +
              state + " in stage " + std::to_string(std::atoi(stage.c_str()) + 1);
      record.line("BROKEN: %s", worst.c_str());
    }
    if (state == "done" || state == "returned" || state == "held" || broken >= 3) break;
  }
  record.line("what each conductor sent, and what the keepers answered:");
  for (const std::string& folder : {first, second}) {
    std::istringstream lines(text_of(folder + "/history"));
    for (std::string line; std::getline(lines, line);)
      record.line("  %s: %s", folder == first ? "A" : "B", line.substr(line.find(' ') + 1).c_str());
  }
  if (broken > 0)
    over(1, std::to_string(broken) +
                " orders of the former conductor were taken after its successor had begun; " + worst);
  over(0, "nothing but orders of the successor was taken; it is " +
              between(text_of(second + "/rollout"), "\"state\":\"", "\""));
}

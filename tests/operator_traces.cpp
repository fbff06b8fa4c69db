// Traces of reading operators' files: what is taken from good ones, what is said of bad ones.
#include <cstdio>
#include <cstring>
#include <random>

#include "operator_file/xml.h"

using namespace marbledyke;
using namespace marbledyke::operator_file;

namespace {

std::string file(const std::string& inside) {
  return "<?xml version=\"1.0\"?>\n<marbledyke xmlns=\"urn:marbledyke:operator:1\">\n" + inside +
         "\n</marbledyke>\n";
}

void show(const char* what, const std::string& text) {
  const Result result = read_xml(text);
  std::printf("-- %s\n", what);
  for (const FileError& fault : result.faults) std::printf("%s\n", format_error("FILE", fault).c_str());
  if (result.terms) std::printf("%s\n", put_result(result).c_str());
  // What passes between the two programs says the same on the other side.
  if (put_result(read_result(put_result(result))) != put_result(result)) std::printf("NOT THE SAME AGAIN\n");
}

void good() {
  show("nothing set", file(""));
  show("all set", file(R"(<servers>
  <server name="a"><address>unix:/run/a.sock</address><address>[::1]:9000</address></server>
  <server name="b" instead="true"><address>127.0.0.1:9000</address></server>
</servers>
<connecting prefer="ip4 local" attempt="200ms" race="2s" stagger="50ms" stagger-least="20ms" at-once="2" hold="5s"
  hold-most="10min" trials-at-once="1" prove="always"/>
<!-- in any order -->
<log format="json" level="debug"/>)"));
  show("searching", file(R"(<search>
  <listen protocol="sru" address="127.0.0.1:8080"/>
  <listen protocol="z3950" address="[::1]:2100"/>
  <limits sessions="10" sets="5" all-sets="40" set-life="2min" idle="1min" records="20" ahead="10"/>
  <database name="Clauses" title="Clauses &amp; more" op-type="look" shards="0-2 7" deadline="900ms">
    <schema name="dc" identifier="info:srw/schema/1/dc-v1.1"/>
    <index name="dc.Title" use="4"/>
    <index name="order.issue" use="8000" op-type="issue" shards="0 1" scan="false" sort="false"/>
  </database>
</search>
<servers><server name="a" speaks="z3950" database="clauses{shard}"/></servers>)"));
  show("attempt left to the platform's terms", file(R"(<connecting prove="never"/>)"));
}

void bad() {
  show("empty", "");
  show("no XML", "{}");
  show("cut off", file("<log/>").substr(0, 70));
  show("two roots", file("") + "<more/>");
  show("another namespace", "<marbledyke/>");
  show("unknown element", file("<log/>\n<logs/>"));
  show("unknown attribute", file("<log/>\n<connecting retries=\"3\"/>"));
  show("the same part twice", file("<log/>\n<log/>"));
  show("three faults at once", file("<log level=\"loud\"/>\n<connecting stagger=\"fast\"\n at-once=\"0\"/>"));
  show("no unit", file(R"(<connecting hold="5"/>)"));
  show("out of range", file(R"(<connecting stagger="1ms" hold="999999999min"/>)"));
  show("longest first",
       file(R"(<connecting stagger="50ms" stagger-least="60ms" hold="2s" hold-most="1s"/>)"));
  show("an attempt longer than its race", file(R"(<connecting attempt="3s" race="2s"/>)"));
  show("a second address would never be dialled",
       file(R"(<connecting attempt="50ms" race="100ms" stagger="100ms"/>)"));
  show("a family twice", file(R"(<connecting prefer="ip4 ip6 ip4"/>)"));
  show("an unknown family", file(R"(<connecting prefer="ip4 ip5"/>)"));
  show("a server without a name", file("<servers><server><address>1.2.3.4:5</address></server></servers>"));
  const auto search = [](const std::string& inside) {
    return file("<search>\n<listen protocol=\"sru\" address=\"127.0.0.1:8080\"/>\n" + inside + "\n</search>");
  };
  const std::string database =
      R"(<database name="a" op-type="look"><index name="dc.title" use="4"/></database>)";
  show("a search without a listener", file("<search>" + database + "</search>"));
  show("a search without a database", search(""));
  show("a database without an index", search(R"(<database name="a" op-type="look"/>)"));
  show("two databases of one name",
       search(database + "\n<database name=\"A\" op-type=\"b\"><index name=\"x\"/></database>"));
  show("two indexes of one name or use",
       search(R"(<database name="a" op-type="look"><index name="dc.title" use="4"/>
<index name="DC.Title"/>
<index name="dc.other" use="4"/></database>)"));
  show("shards that cannot be",
       search(R"(<database name="a" op-type="look" shards="0-3 2"><index name="x"/></database>
<database name="b" op-type="look" shards="5-3"><index name="x"/></database>
<database name="c" op-type="look" shards="0 1"><index name="x" shards="1 2"/></database>
<database name="d" op-type="look" shards="one"><index name="x"/></database>)"));
  show("limits that contradict each other", search("<limits sets=\"50\" all-sets=\"20\"\n ahead=\"60\" "
                                                   "records=\"50\" idle=\"10min\" set-life=\"1min\"/>\n" +
                                                   database));
  show("limits out of range",
       search("<limits sessions=\"0\" message-bytes=\"10\" deepest=\"-1\"/>\n" + database));
  show("two listeners at one address",
       file("<search><listen protocol=\"sru\" address=\"127.0.0.1:80\"/>\n<listen protocol=\"z3950\" "
            "address=\"127.0.0.1:80\"/>" +
            database + "</search>"));
  show("an unknown protocol",
       file("<search><listen protocol=\"srw\" address=\"127.0.0.1:80\"/>" + database + "</search>"));
  show("a server that speaks without a database",
       file("<servers><server name=\"a\" speaks=\"sru\"/></servers>"));
  show("a database of a server that speaks frames",
       file("<servers><server name=\"a\" database=\"b\"><address>1.2.3.4:5</address></server></servers>"));
  show("instead of nothing",
       file("<servers><server name=\"a\" instead=\"true\" speaks=\"sru\" database=\"b\"/></servers>"));
  show("a server without an address", file("<servers>\n<server name=\"a\"/>\n</servers>"));
  show("addresses that cannot be", file("<servers><server name=\"a\">\n<address>localhost:1</address>\n"
                                        "<address>1.2.3:4</address>\n<address>1.2.3.4:99999</address>\n"
                                        "</server></servers>"));
  show("numbers out of range",
       file("<servers><server name=\"a\">\n<address>1.2.3.400:1</address>\n<address>unix:/" +
            std::string(120, 'x') + "</address></server></servers>"));
  show("one name twice, one address for two",
       file("<servers>\n<server name=\"a\"><address>1.2.3.4:5</address></server>\n"
            "<server name=\"b\"><address>1.2.3.4:5</address></server>\n"
            "<server name=\"a\"><address>1.2.3.4:6</address></server>\n</servers>"));
  std::string nine = "<servers><server name=\"a\">";
  for (int i = 1; i <= 9; ++i) nine += "\n<address>1.2.3.4:" + std::to_string(i) + "</address>";
  show("nine addresses", file(nine + "</server></servers>"));
  show("a document type", "<!DOCTYPE marbledyke [<!ENTITY a \"b\">]>\n" + file("").substr(22));
  show("entities in entities",
       "<!DOCTYPE m [<!ENTITY a \"aaaaaaaaaa\"><!ENTITY b \"&a;&a;&a;&a;&a;&a;&a;&a;\"><!ENTITY c "
       "\"&b;&b;&b;&b;&b;&b;&b;\">]>"
       "<marbledyke xmlns=\"urn:marbledyke:operator:1\"><servers><server "
       "name=\"&c;\"/></servers></marbledyke>");
  show("an external reference",
       "<!DOCTYPE m SYSTEM \"file:///etc/hostname\">\n<marbledyke xmlns=\"urn:marbledyke:operator:1\"/>");
  show("an entity that is not there",
       file("<servers><server name=\"&secret;\"><address>1.2.3.4:5</address></server></servers>"));
  show("too large", std::string(xml::kMostFile + 1, ' '));
  show("no text", std::string("\xff\xfe\x00\x01", 4));
  const Result folder = read_xml_file("/");
  std::printf("-- a folder\n%s\n", format_error("FILE", folder.faults.front()).c_str());
  std::printf("-- not there\n%s\n",
              format_error("FILE", read_xml_file("/there/is/none").faults.front()).c_str());
}

// Seeded damage: whatever is done to a good file, it is read as good or refused with a reason, and what is
// read as good comes out the same on the other side.
void damage() {
  const std::string whole = file(R"(<log format="json" level="info"/>
<connecting prefer="local ip6 ip4" attempt="250ms" race="1s" stagger="100ms" hold="1s" prove="in-doubt"/>
<servers><server name="a"><address>unix:/run/a</address><address>[::1]:9001</address></server></servers>)");
  std::mt19937 chance(5);
  int read = 0, refused = 0, wrong = 0;
  for (int i = 0; i < 4000; ++i) {
    std::string text = whole;
    for (std::uint32_t k = 0; k < 1 + chance() % 3; ++k) {
      const std::size_t at = chance() % text.size();
      switch (chance() % 4) {
        case 0:
          text[at] = static_cast<char>(chance() % 256);
          break;
        case 1:
          text.erase(at, 1 + chance() % 8);
          break;
        case 2:
          text.insert(at, text.substr(chance() % text.size(), chance() % 30));
          break;
        default:
          text.resize(at + 1);
          break;
      }
    }
    const Result result = read_xml(text);
    (result.terms ? read : refused) += 1;
    if (!result.terms && result.faults.empty()) ++wrong;
    if (result.terms && !result.faults.empty()) ++wrong;
    if (put_result(read_result(put_result(result))) != put_result(result)) ++wrong;
  }
  std::printf("%s read, %s refused, %d wrong\n", read > 20 ? "some" : "FEW", refused > 2000 ? "most" : "FEW",
              wrong);
}

}  // namespace

int main(int count, char** words) {
  if (count != 2) return 2;
  const std::string what = words[1];
  if (what == "good")
    good();
  else if (what == "bad")
    bad();
  else if (what == "damage")
    damage();
  else
    return 2;
  return 0;
}

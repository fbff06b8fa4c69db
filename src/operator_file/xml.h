// Reads an operator's file: XML, checked against its schema and then for what a schema cannot say. Every
// fault is given with its line; nothing is taken from a file that has any. Only the program
// marbledyke-operator links this, so that the one that serves holds no XML library.
#pragma once

#include <string>

#include "operator_file/terms.h"
#include "xml/document.h"

namespace marbledyke::operator_file {

extern const char* const kSchema;  // deploy/operator.xsd

// From the text of the file. Document types, and with them entities and external references, are refused.
Result read_xml(const std::string& text);
// Refuses what is no regular file, or larger than xml::kMostFile.
Result read_xml_file(const std::string& path);

}  // namespace marbledyke::operator_file
